// Keeps an engine in step with wishes: reads its report, holds its ledger and sends its orders.
#pragma once

#include "edge/EnginePort.h"
#include "memory/Reconciler.h"
#include "observe/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace tray {

/// What the controller asks of and tells the rest of the agent.
struct EngineHooks
{
    std::function<std::shared_ptr<const ItemSpecs>()> specs;
    std::function<StatusList()> statuses;
    std::function<ItemWish()> wish;
    /// The status table is complete enough to see a missing replica.
    std::function<bool()> mayRepair;
    std::function<std::vector<ItemDemand>()> demand;
    std::function<std::map<ItemKey, uint32_t>()> inUse;
    /// Report or items have changed.
    std::function<void()> onChange;
    /// The engine has seen a newer agent's fencing token.
    std::function<void()> onStale;
};

struct EngineTimes
{
    Duration reportInterval = milliseconds(200);
    Duration callTimeout = std::chrono::seconds(1);
    /// Silence of the report after which the engine counts as lost.
    Duration lostAfter = std::chrono::seconds(3);
    /// Wait before the first load on an engine that ignores fencing tokens, for late orders of an
    /// earlier agent.
    Duration quarantine = std::chrono::seconds(5);
};

/// Runs on one thread.
class EngineController
{
public:
    EngineController(boost::asio::io_context &context, EnginePort &port,
                     const std::string &upstream, const std::string &pool, EngineTimes times,
                     EngineHooks hooks, Metrics &metrics);

    /// Loop of reports and decisions; runs until stop().
    boost::asio::awaitable<void> run();
    void stop();
    /// Starts to order under an epoch. Until then, only what is resident is served.
    void takeOver(uint64_t epoch);
    void setDraining(bool draining) { this->draining = draining; }
    /// Decides at once instead of at the next report, because new work waits for an item.
    void wake();

    MemoryLedger &ledger() { return this->memory; }
    const MemoryLedger &ledger() const { return this->memory; }
    const ReconcileOutput &lastDecision() const { return this->decision; }
    bool isLost() const { return this->lost; }
    /// The engine cut a request and does not report; it gets no work until it reports again.
    void markLost();
    /// Bytes of an answer came from the engine, which shows that it lives as a report does.
    void noteHeard(Instant now) { this->lastHeard = now; }
    bool obeysFencing() const { return this->fencingObeyed; }
    /// Restarts of the engine process that were noticed.
    uint64_t restarts() const { return this->restartCount; }
    /// Reads a report now. Returns false if the engine does not answer.
    boost::asio::awaitable<bool> readReport();
    /// Expected time until an item is ready; nothing if no load is possible.
    std::optional<Duration> readyAfter(ItemKind kind, const std::string &name) const;
    /// Ready version of an item, the one in force if possible.
    std::optional<ItemKey> readyVersion(ItemKind kind, const std::string &name) const;

private:
    void decide();
    void noteLoads(Instant now);
    boost::asio::awaitable<void> fence(uint64_t token);
    boost::asio::awaitable<void> sendOrder(EngineOrder order);
    boost::asio::awaitable<Result<uint64_t>> sendRole(std::string id, uint64_t token);

    boost::asio::io_context &context;
    EnginePort &port;
    const std::string upstream;
    const EngineTimes times;
    const EngineHooks hooks;
    Metrics &metrics;
    MemoryLedger memory;
    Reconciler reconciler;
    ReconcileOutput decision;
    boost::asio::steady_timer timer;
    bool stopped = false;
    bool draining = false;
    bool lost = false;
    bool mayLoad = false;
    bool fencingObeyed = false;
    uint64_t epoch = 0;
    uint64_t restartCount = 0;
    std::string role;
    // Last report or part of an answer.
    Instant lastHeard;
    Instant lostSince;
    // Loads that were ordered and are not ready, and the mean time of a load by kind.
    std::map<ItemKey, Instant> loadsSince;
    std::map<ItemKind, Duration> meanLoad{{ItemKind::Model, std::chrono::seconds(2)},
                                          {ItemKind::Adapter, milliseconds(50)}};
};

} // namespace tray
