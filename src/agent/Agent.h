// The process beside one upstream: creates the parts of the agent and connects them to the control
// node.
#pragma once

#include "agent/AttemptRunner.h"
#include "agent/DataServer.h"
#include "agent/EngineController.h"
#include "agent/EpochKeeper.h"
#include "agent/GuardPort.h"
#include "net/AdminServer.h"
#include "node/ClaimService.h"
#include "node/ControlNode.h"
#include "node/PlannerService.h"

#include "settings_agent.pb.h"

#include <memory>

namespace tray {

/// Runs on the single thread of the context; the control node may call from other threads.
class Agent
{
public:
    Agent(boost::asio::io_context &context, const proto::AgentSettings &settings);
    ~Agent();

    /// Binds all addresses and starts the loops. Fails if another agent holds the guard port.
    Result<Unit> start();
    /// Stops gracefully: refuses new work, lets running work finish within the drain timeout,
    /// aborts the rest and stops all loops.
    boost::asio::awaitable<void> stop();
    /// Longest duration of stop().
    Duration maxStopTime() const { return this->drainTime() + AttemptRunner::FinalFrameTimeout; }
    /// Sets the handler that is called when a newer agent has taken control of the upstream; the
    /// process must then end immediately.
    void setOnSuperseded(std::function<void()> handler) { this->onSuperseded = std::move(handler); }

    const Address &dataAddress() const { return this->boundData; }
    const Address &adminAddress() const { return this->boundAdmin; }

private:
    boost::asio::awaitable<void> raiseEpoch();
    boost::asio::awaitable<void> watchEpoch();
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> watchService();
    boost::asio::awaitable<void> abortOpenAttemptsAt(Instant deadline);
    Duration drainTime() const { return milliseconds(this->settings.agent().drain_timeout_ms()); }
    void createUpstream();
    void registerGauges();
    RunnerHooks runnerHooks();
    EngineHooks engineHooks();
    std::shared_ptr<const ItemRequirements> requirements();
    StatusList liveStatuses() const;
    bool acceptsWork() const;
    /// Data address that is published to entry instances.
    Address advertisedDataAddress() const;
    void setDraining(bool draining);
    void handleDrain(const proto::DrainRequest &request,
                     const std::function<void(proto::ControlReply)> &reply);
    void publishStatus();
    proto::UpstreamStatus makeStatus() const;
    void reportSuperseded();

    boost::asio::io_context &context;
    const proto::AgentSettings settings;
    Metrics metrics;
    EventRing events;
    GuardPort guard;
    ControlNode node;
    ClaimService claimService;
    PlannerService planner;
    EpochKeeper epoch;
    std::unique_ptr<EnginePort> engine;
    std::unique_ptr<ServicePort> service;
    std::unique_ptr<EngineController> controller;
    std::unique_ptr<AttemptRunner> runner;
    std::unique_ptr<DataServer> dataServer;
    std::unique_ptr<AdminServer> admin;
    std::function<void()> onSuperseded;
    boost::asio::steady_timer ticker;
    Address boundData;
    Address boundAdmin;
    Address boundControl;
    bool stopped = false;
    bool leaving = false;
    bool serviceLost = false;
    // Time since which the status table has been fresh without a break; not set while it is stale.
    std::optional<Instant> freshSince;
    std::shared_ptr<const ItemRequirements> cachedRequirements;
    std::shared_ptr<const Catalogue> cachedCatalogue;
    proto::UpstreamStatus published;
    Instant publishedAt;
};

} // namespace tray
