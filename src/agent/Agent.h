// The process beside one upstream: puts the agent's parts together with the control node.
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

/// Runs on the context's one thread; the control node may call from others.
class Agent
{
public:
    Agent(boost::asio::io_context &context, const proto::AgentSettings &settings);
    ~Agent();

    /// Binds all addresses and starts the loops. Fails if another agent holds the guard port.
    Result<Unit> start();
    /// Leaves: refuses new work, lets running work finish within the drain's time, ends what is
    /// left and stops all loops.
    boost::asio::awaitable<void> stop();
    /// Time that a stop may take.
    Duration stopLimit() const { return this->drainTime() + AttemptRunner::FinalFrameTime; }
    /// Called when a newer agent has taken over the upstream; the process must end at once.
    void setOnStale(std::function<void()> handler) { this->onStale = std::move(handler); }

    const Address &dataAddress() const { return this->boundData; }
    const Address &adminAddress() const { return this->boundAdmin; }

private:
    boost::asio::awaitable<void> raiseEpoch();
    boost::asio::awaitable<void> watchEpoch();
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> watchService();
    boost::asio::awaitable<void> endOpenAt(Instant lastAnswer);
    Duration drainTime() const { return milliseconds(this->settings.agent().drain_timeout_ms()); }
    void makeUpstream();
    void registerGauges();
    RunnerHooks runnerHooks();
    EngineHooks engineHooks();
    std::shared_ptr<const ItemSpecs> specs();
    StatusList liveStatuses() const;
    bool takesWork() const;
    /// Address that entry instances are told.
    Address advertisedData() const;
    void setDraining(bool draining);
    void handleDrain(const proto::DrainRequest &request,
                     const std::function<void(proto::ControlReply)> &reply);
    void publishStatus();
    proto::UpstreamStatus makeStatus() const;
    void reportStale();

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
    std::function<void()> onStale;
    boost::asio::steady_timer ticker;
    Address boundData;
    Address boundAdmin;
    Address boundControl;
    bool stopped = false;
    bool leaving = false;
    bool serviceLost = false;
    // Start of the time during which the status table has been fresh.
    std::optional<Instant> freshSince;
    std::shared_ptr<const ItemSpecs> cachedSpecs;
    std::shared_ptr<const Catalogue> cachedFor;
    proto::UpstreamStatus published;
    Instant publishedAt;
};

} // namespace tray
