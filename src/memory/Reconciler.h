// Decides which load and unload commands one engine gets, from requested placement, configuration
// and queued requests.
#pragma once

#include "memory/MemoryLedger.h"
#include "memory/ReplicaView.h"

#include <optional>

namespace tray {

/// Configuration of a model in the engine's pool.
struct ModelRequirements
{
    std::string version;
    uint64_t bytes = 0;
    uint32_t minReplicas = 0;
    /// KV cache of one token, in bytes.
    uint64_t kvBytesPerToken = 0;
    uint32_t maxContextTokens = 0;
};

/// Configuration of an adapter for one of those models.
struct AdapterRequirements
{
    std::string base;
    std::string version;
    uint64_t bytes = 0;
};

/// Items and services that the upstreams of the pool may have, by name.
struct ItemRequirements
{
    std::map<std::string, ModelRequirements> models;
    std::map<std::string, AdapterRequirements> adapters;
    std::set<std::string> services;
};

/// Demand of queued requests for an item.
struct ItemDemand
{
    ItemKind kind = ItemKind::Model;
    std::string name;
    uint32_t tierRank = 0;
    uint32_t waiting = 0;
};

/// Names of the items that the planner requests on this engine.
struct RequestedItems
{
    std::set<std::string> models;
    std::set<std::string> adapters;
};

struct ReconcileInput
{
    const ItemRequirements &requirements;
    const RequestedItems &requested;
    const StatusList &statuses;
    const std::vector<ItemDemand> &demand;
    /// Number of requests that run or wait on each ready item.
    const std::map<ItemKey, uint32_t> &inUse;
    uint64_t fencing = 0;
    bool draining = false;
    /// Whether the status table is complete enough to conclude that a model has no replica.
    bool mayRepair = true;
    /// Whether loads are allowed; false while an earlier agent's commands may still take effect.
    bool mayLoad = true;
};

struct ReconcileOutput
{
    /// Commands to send now: new ones and resends.
    std::vector<EngineCommand> commands;
    /// Models whose hold this agent publishes. A hold tells other agents that this replica will be
    /// kept. It is withdrawn first; the unload follows once another agent has confirmed its own
    /// hold (see HoldTimes).
    std::set<std::string> heldModels;
    /// Models with a withdrawn hold that are unloaded once another agent has confirmed its hold.
    std::set<std::string> modelsToUnload;
    /// Whether another agent waits for a fresh status of this one.
    bool refreshStatus = false;
    /// Wanted items that do not fit and for which no memory can be freed at present.
    std::set<ItemKey> infeasible;
};

struct ReconcilerTimes
{
    /// Time after which a command without visible effect is sent again, with the same id.
    Duration resendInterval = std::chrono::seconds(1);
    /// Delay per position in the rendezvous order before a missing replica is loaded.
    Duration repairStagger = std::chrono::seconds(1);
    /// Time within which engines with an old version may replace it in place, before another engine
    /// loads the configured version.
    Duration inPlaceReplaceTime = std::chrono::seconds(5);
    HoldTimes holds;
};

/// Reconciles the items of one engine, tracked in a MemoryLedger, with the requested ones. Does no
/// I/O; not thread-safe.
class Reconciler
{
public:
    Reconciler(std::string upstream, const std::string &pool, MemoryLedger &ledger,
               ReconcilerTimes times = {});

    /// Returns the commands that are due and the holds of this agent. Each load has been charged in
    /// the ledger.
    ReconcileOutput decide(const ReconcileInput &input, Instant now);
    /// Divisor of the engine's memory that gives the part that items leave free for KV cache.
    /// Without this reserve, one model too many would keep all models of the engine from answering.
    static constexpr uint64_t KvReserveDivisor = 16;
    uint64_t commandsIssued() const { return this->issuedCount; }

private:
    struct WantedItem
    {
        ItemKey key;
        uint64_t bytes = 0;
        std::string base;
        // Sort order: class (0: repairs and queued requests, 1: requested items and new versions),
        // tier rank, then number of queued requests.
        uint32_t priorityClass = 0;
        uint32_t tierRank = 0;
        uint32_t waiting = 0;
    };
    struct PendingCommand
    {
        EngineCommand command;
        Instant sentAt;
    };
    struct Withdrawal
    {
        Instant since;
        // Set while an unload waits for another agent's confirmation.
        std::optional<Instant> confirmationRequestedAt;
    };

    std::vector<WantedItem> collectWantedItems(const ReconcileInput &input, Instant now);
    void addWantedItem(std::vector<WantedItem> &wantedItems, const ItemRequirements &requirements,
                       ItemKind kind, const std::string &name, uint32_t priorityClass,
                       uint32_t tierRank, uint32_t waiting) const;
    std::set<std::string> collectMissingModels(const ReconcileInput &input, Instant now);
    void removeCompleted();
    void resendPending(const ReconcileInput &input, Instant now, ReconcileOutput &output);
    void loadWantedItems(const ReconcileInput &input, const std::vector<WantedItem> &wantedItems,
                         Instant now, ReconcileOutput &output);
    /// Unloads items if models and adapters leave less than the KV reserve free.
    void freeKvReserve(const ReconcileInput &input, const std::set<ItemKey> &wanted,
                       uint64_t kvReserveBytes, uint64_t adapterKvReserveBytes, Instant now,
                       ReconcileOutput &output);
    /// Unloads unused items that are not configured any more or whose configured version is ready.
    void unloadObsolete(const ReconcileInput &input, Instant now, ReconcileOutput &output);
    void freeMemory(const ReconcileInput &input, const std::set<ItemKey> &wanted,
                    uint64_t neededBytes, Instant now, ReconcileOutput &output);
    bool prepareUnload(const ReconcileInput &input, const ItemKey &key, Instant now);
    bool isReplacedLocally(const ReconcileInput &input, const ItemKey &key) const;
    void issue(const ReconcileInput &input, CommandAction action, const ItemKey &key,
               uint64_t bytes, const std::string &base, Instant now, ReconcileOutput &output);
    void updateHolds(const ReconcileInput &input, Instant now, ReconcileOutput &output);
    bool hasReadyModel(const std::string &name) const;
    void updateLastUse(const ReconcileInput &input, Instant now);

    std::string upstream;
    MemoryLedger &ledger;
    ReconcilerTimes times;
    ReplicaView view;
    uint64_t commandCount = 0;
    uint64_t issuedCount = 0;
    // Commands in flight, at most one per item.
    std::map<ItemKey, PendingCommand> pending;
    std::map<ItemKey, Instant> lastUse;
    // Ready models whose hold this agent has withdrawn.
    std::map<std::string, Withdrawal> withdrawnHolds;
    // Models for whose unload the current decision needs another agent's confirmation.
    std::set<std::string> modelsToUnload;
    std::map<std::string, Instant> missingSince;
};

} // namespace tray
