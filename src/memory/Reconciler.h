// Turns placement wishes, configuration and waiting requests into orders to one engine.
#pragma once

#include "memory/MemoryLedger.h"
#include "memory/ReplicaView.h"

#include <optional>

namespace tray {

/// Model of the engine's pool as the configuration has it.
struct ModelSpec
{
    std::string version;
    uint64_t bytes = 0;
    uint32_t minReplicas = 0;
    /// KV cache of one token, in bytes.
    uint64_t kvBytesPerToken = 0;
    uint32_t maxContextTokens = 0;
};

/// Adapter of one of those models.
struct AdapterSpec
{
    std::string base;
    std::string version;
    uint64_t bytes = 0;
};

/// What may stand on the upstreams of the pool, by name.
struct ItemSpecs
{
    std::map<std::string, ModelSpec> models;
    std::map<std::string, AdapterSpec> adapters;
    std::set<std::string> services;
};

/// Requests that wait for an item.
struct ItemDemand
{
    ItemKind kind = ItemKind::Model;
    std::string name;
    uint32_t tierRank = 0;
    uint32_t waiting = 0;
};

/// Names that the planner wants here.
struct ItemWish
{
    std::set<std::string> models;
    std::set<std::string> adapters;
};

struct ReconcileInput
{
    const ItemSpecs &specs;
    const ItemWish &wish;
    const StatusList &statuses;
    const std::vector<ItemDemand> &demand;
    /// Requests that run or wait on each ready item.
    const std::map<ItemKey, uint32_t> &inUse;
    uint64_t fencing = 0;
    bool draining = false;
    /// The status table is complete enough to tell that a model has no replica.
    bool mayRepair = true;
    /// Loads are allowed; false while an earlier agent's orders may still take effect.
    bool mayLoad = true;
};

struct ReconcileOutput
{
    /// Orders to send now, new ones and repeated ones.
    std::vector<EngineOrder> orders;
    std::set<std::string> heldModels;
    std::set<std::string> releasingModels;
    /// Another agent waits for a fresh status of this one.
    bool refreshStatus = false;
    /// Wanted items that do not fit and for which no room can be made at present.
    std::set<ItemKey> infeasible;
};

struct ReconcilerTimes
{
    /// An order without visible effect is sent again after this time, with the same id.
    Duration resend = std::chrono::seconds(1);
    /// Wait for each position in the rendezvous order before a missing replica is loaded.
    Duration repairStep = std::chrono::seconds(1);
    /// Time that engines with an old version have to replace it, before another engine loads the
    /// version in force.
    Duration replaceInPlace = std::chrono::seconds(5);
    HoldTimes holds;
};

/// State machine over a MemoryLedger. Pure; not safe for concurrent use.
class Reconciler
{
public:
    Reconciler(std::string upstream, const std::string &pool, MemoryLedger &ledger,
               ReconcilerTimes times = {});

    /// Orders that are due. Each has been charged in the ledger.
    ReconcileOutput decide(const ReconcileInput &input, Instant now);
    /// Memory that items leave free for KV cache, as a part of the whole. Without it, one model too
    /// many would keep all models of the engine from answering.
    static constexpr uint64_t KvReserveDivisor = 16;
    uint64_t movesOrdered() const { return this->moves; }

private:
    struct Want
    {
        ItemKey key;
        uint64_t bytes = 0;
        std::string base;
        // Order of importance: class (0 repairs and waiting requests, 1 wishes and new versions),
        // tier rank, then waiting requests.
        uint32_t urgency = 0;
        uint32_t tierRank = 0;
        uint32_t waiting = 0;
    };
    struct Pending
    {
        EngineOrder order;
        Instant sentAt;
    };
    struct Withdrawal
    {
        Instant since;
        // Set once an unload waits for another agent's confirmation.
        std::optional<Instant> askedAt;
    };

    std::vector<Want> collectWants(const ReconcileInput &input, Instant now);
    void addWant(std::vector<Want> &wants, const ItemSpecs &specs, ItemKind kind,
                 const std::string &name, uint32_t urgency, uint32_t tierRank,
                 uint32_t waiting) const;
    std::set<std::string> missingModels(const ReconcileInput &input, Instant now);
    void settlePending();
    void resendPending(const ReconcileInput &input, Instant now, ReconcileOutput &output);
    void loadWanted(const ReconcileInput &input, const std::vector<Want> &wants, Instant now,
                    ReconcileOutput &output);
    void keepKvReserve(const ReconcileInput &input, const std::set<ItemKey> &wanted,
                       uint64_t reserve, uint64_t adapterReserve, Instant now,
                       ReconcileOutput &output);
    void dropReplaced(const ReconcileInput &input, Instant now, ReconcileOutput &output);
    void makeRoom(const ReconcileInput &input, const std::set<ItemKey> &wanted, uint64_t needed,
                  Instant now, ReconcileOutput &output);
    bool mayUnload(const ReconcileInput &input, const ItemKey &key, Instant now);
    bool isReplacedHere(const ReconcileInput &input, const ItemKey &key) const;
    void send(const ReconcileInput &input, OrderAction action, const ItemKey &key, uint64_t bytes,
              const std::string &base, Instant now, ReconcileOutput &output);
    void updateHolds(const ReconcileInput &input, Instant now, ReconcileOutput &output);
    bool hasReadyModel(const std::string &name) const;
    void noteUse(const ReconcileInput &input, Instant now);

    std::string upstream;
    MemoryLedger &ledger;
    ReconcilerTimes times;
    ReplicaView view;
    uint64_t orderCount = 0;
    uint64_t moves = 0;
    // At most one order in flight per item.
    std::map<ItemKey, Pending> pending;
    std::map<ItemKey, Instant> lastUse;
    // Ready models that this agent does not hold.
    std::map<std::string, Withdrawal> withdrawn;
    // Models that were asked to be unloaded in the present decision.
    std::set<std::string> askedNow;
    std::map<std::string, Instant> missingSince;
};

} // namespace tray
