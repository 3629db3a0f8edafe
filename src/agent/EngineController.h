// Brings an engine to the requested items: reads its reports, keeps its memory ledger and sends it
// commands.
#pragma once

#include "edge/EnginePort.h"
#include "memory/Reconciler.h"
#include "observe/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace tray {

/// Functions of the rest of the agent that the controller calls.
struct EngineHooks
{
    std::function<std::shared_ptr<const ItemRequirements>()> requirements;
    std::function<StatusList()> statuses;
    std::function<RequestedItems()> requestedItems;
    /// Returns whether the status table is complete enough to conclude that a model has no replica.
    std::function<bool()> mayRepair;
    std::function<std::vector<ItemDemand>()> demand;
    std::function<std::map<ItemKey, uint32_t>()> inUse;
    /// Called after each decision, when the report or the items may have changed.
    std::function<void()> onChange;
    /// Called when the engine has seen the fencing token of a newer agent.
    std::function<void()> onSuperseded;
};

struct EngineTimes
{
    Duration reportInterval = milliseconds(200);
    Duration callTimeout = std::chrono::seconds(1);
    /// Time without a report or a part of an answer after which the engine counts as lost.
    Duration lostTimeout = std::chrono::seconds(3);
    /// Wait before the first load on an engine that ignores fencing tokens, because late commands
    /// of an earlier agent may still arrive.
    Duration quarantine = std::chrono::seconds(5);
};

/// Not thread-safe.
class EngineController
{
public:
    EngineController(boost::asio::io_context &context, EnginePort &port,
                     const std::string &upstream, const std::string &pool, EngineTimes times,
                     EngineHooks hooks, Metrics &metrics);

    /// Reads reports and decides on commands in a loop until stop().
    boost::asio::awaitable<void> run();
    void stop();
    /// Starts to send commands with the epoch as fencing token. Before this, only resident items
    /// are served.
    void acquireControl(uint64_t epoch);
    void setDraining(bool draining) { this->draining = draining; }
    /// Starts the next round immediately, because new work waits for an item.
    void wake();

    MemoryLedger &ledger() { return this->memoryLedger; }
    const MemoryLedger &ledger() const { return this->memoryLedger; }
    const ReconcileOutput &lastDecision() const { return this->decision; }
    bool isLost() const { return this->lost; }
    /// Records that the engine is lost because it does not report, e.g. after it cut a request. It
    /// gets no work until it reports again.
    void markLost();
    /// Records that the engine sent bytes of an answer, which show as well as a report that it is
    /// alive.
    void noteContact(Instant now) { this->lastContactAt = now; }
    bool obeysFencing() const { return this->fencingObeyed; }
    /// Number of restarts of the engine process that were detected.
    uint64_t restarts() const { return this->restartCount; }
    /// Reads a report now. Returns false if the engine does not answer.
    boost::asio::awaitable<bool> readReport();
    /// Expected time until an item is ready; not set if it cannot be loaded.
    std::optional<Duration> timeUntilReady(ItemKind kind, const std::string &name) const;
    /// Finds a ready version of an item, preferably the configured one.
    std::optional<ItemKey> findReadyItem(ItemKind kind, const std::string &name) const;

private:
    void decide();
    void updateLoadTimes(Instant now);
    boost::asio::awaitable<void> fence(uint64_t token);
    boost::asio::awaitable<void> sendCommand(EngineCommand command);
    boost::asio::awaitable<Result<uint64_t>> sendRole(std::string id, uint64_t token);

    boost::asio::io_context &context;
    EnginePort &port;
    const std::string upstream;
    const EngineTimes times;
    const EngineHooks hooks;
    Metrics &metrics;
    MemoryLedger memoryLedger;
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
    // Time of the last report or part of an answer.
    Instant lastContactAt;
    Instant lostAt;
    // Start times of the loads that are not ready yet, and the mean duration of a load by kind.
    std::map<ItemKey, Instant> loadStartedAt;
    std::map<ItemKind, Duration> meanLoadTime{{ItemKind::Model, std::chrono::seconds(2)},
                                              {ItemKind::Adapter, milliseconds(50)}};
};

} // namespace tray
