#include "agent/Agent.h"

#include "edge/HttpEnginePort.h"
#include "edge/HttpServicePort.h"
#include "edge/ObjectApi.h"
#include "net/Pause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

namespace tray {

namespace asio = boost::asio;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr auto EpochRetryDelay = milliseconds(500);
// A newer epoch also shows in refused commands; the stored epoch is read because some engines
// ignore fencing tokens.
constexpr auto EpochCheckInterval = std::chrono::seconds(15);
constexpr auto ServiceCheckInterval = milliseconds(500);

NodeIdentity identityOf(const proto::AgentSettings &settings)
{
    NodeIdentity identity;
    identity.instance = settings.instance().id();
    identity.dataCentre = settings.instance().data_centre();
    identity.region = settings.instance().region();
    identity.role = "agent";
    identity.upstream = settings.upstream().name();
    return identity;
}

} // namespace

Agent::Agent(asio::io_context &context, const proto::AgentSettings &settings)
    : context(context), settings(settings), guard(context),
      node(context, identityOf(settings), settings.platform(), settings.control(), this->metrics,
           this->events),
      claimService(context, this->node, this->metrics),
      planner(context, this->node, this->metrics, plannerSettings(settings.placement())),
      epoch(this->node.objectApi(), settings.upstream().name(), settings.instance().id()),
      ticker(context)
{
    this->createUpstream();
}

Agent::~Agent() = default;

void Agent::createUpstream()
{
    const auto &upstream = this->settings.upstream();
    const Address address = value(parseAddress(upstream.address()));
    UpstreamPorts ports;
    if (upstream.kind() == "engine") {
        this->engine = std::make_unique<HttpEnginePort>(this->context, address);
        EngineTimes times;
        times.reportInterval = milliseconds(this->settings.agent().report_interval_ms());
        this->controller = std::make_unique<EngineController>(
            this->context, *this->engine, upstream.name(), upstream.pool(), times,
            this->engineHooks(), this->metrics);
        ports.controller = this->controller.get();
        ports.engine = this->engine.get();
    } else {
        this->service = std::make_unique<HttpServicePort>(this->context, address);
        ports.service = this->service.get();
    }
    AdmissionLimits limits;
    limits.concurrency = upstream.concurrency();
    this->runner = std::make_unique<AttemptRunner>(this->context, limits, ports,
                                                   this->runnerHooks(), this->metrics);
    this->dataServer = std::make_unique<DataServer>(
        this->context, *this->runner, milliseconds(this->settings.agent().heartbeat_ms()),
        this->metrics);
    this->admin = std::make_unique<AdminServer>(this->context, this->metrics, [this] {
        return !this->leaving && !this->runner->isDraining() && this->acceptsWork();
    });
    this->registerGauges();
}

void Agent::registerGauges()
{
    // The metrics page is rendered on the context's thread, on which all the state that the gauges
    // read is used.
    this->metrics.gauge("agent_running", [this] { return this->runner->load().running(); });
    this->metrics.gauge("agent_queued", [this] { return this->runner->load().queued(); });
    if (!this->controller)
        return;
    this->metrics.gauge("agent_memory_charged_bytes", [this] {
        return static_cast<double>(this->controller->ledger().charged());
    });
    this->metrics.gauge("agent_memory_bytes", [this] {
        return static_cast<double>(this->controller->ledger().memoryBytes());
    });
    this->metrics.gauge("agent_items_infeasible", [this] {
        return static_cast<double>(this->controller->lastDecision().infeasible.size());
    });
}

RunnerHooks Agent::runnerHooks()
{
    RunnerHooks hooks;
    hooks.headVersion = [this] { return this->node.headVersion(); };
    hooks.epoch = [this] { return this->epoch.epoch(); };
    hooks.noteHeadVersion = [this](uint64_t seen) { this->node.noteHeadVersion(seen); };
    hooks.awaitHeadVersion = [this](uint64_t wanted, Instant deadline) {
        return this->node.awaitHeadVersion(wanted, deadline);
    };
    hooks.acceptsWork = [this] { return this->acceptsWork(); };
    hooks.requirements = [this] { return this->requirements(); };
    hooks.reportCrash = [this](uint64_t digest) {
        this->node.reportCrash(digest, this->settings.upstream().name(),
                               std::chrono::steady_clock::now());
    };
    return hooks;
}

EngineHooks Agent::engineHooks()
{
    EngineHooks hooks;
    hooks.requirements = [this] { return this->requirements(); };
    hooks.statuses = [this] { return this->liveStatuses(); };
    hooks.requestedItems = [this] {
        RequestedItems requested;
        if (const auto found = this->node.requestedPlacement(this->settings.upstream().name())) {
            requested.models.insert(found->models().begin(), found->models().end());
            requested.adapters.insert(found->adapters().begin(), found->adapters().end());
        }
        return requested;
    };
    hooks.mayRepair = [this] {
        // A process that has just started has not received the statuses of all replicas yet.
        return this->freshSince &&
               std::chrono::steady_clock::now() - *this->freshSince > std::chrono::seconds(2);
    };
    hooks.demand = [this] { return this->runner->demand(); };
    hooks.inUse = [this] { return this->runner->inUse(); };
    hooks.onChange = [this] {
        this->runner->processQueue();
        this->publishStatus();
    };
    hooks.onSuperseded = [this] { this->reportSuperseded(); };
    return hooks;
}

Result<Unit> Agent::start()
{
    if (auto held = this->guard.bind(value(parseAddress(this->settings.agent().guard_listen())));
        !isOk(held))
        return held;
    auto control = this->node.listen();
    if (!isOk(control))
        return error(control);
    this->boundControl = value(control);
    auto data = this->dataServer->listen(value(parseAddress(this->settings.agent().listen())));
    if (!isOk(data))
        return error(data);
    this->boundData = value(data);
    auto adminBound = this->admin->listen(value(parseAddress(this->settings.admin().listen())));
    if (!isOk(adminBound))
        return error(adminBound);
    this->boundAdmin = value(adminBound);
    this->node.setHandler(
        proto::ControlRequest::kDrain, [this](proto::ControlRequest request, auto reply) {
            asio::post(this->context, [this, drain = request.drain(), reply = std::move(reply)] {
                this->handleDrain(drain, reply);
            });
        });
    this->claimService.start();
    this->node.start(this->advertisedDataAddress());
    asio::co_spawn(this->context, this->raiseEpoch(), asio::detached);
    asio::co_spawn(this->context, this->tick(), asio::detached);
    if (this->controller)
        asio::co_spawn(this->context, this->controller->run(), asio::detached);
    else
        asio::co_spawn(this->context, this->watchService(), asio::detached);
    return Unit{};
}

asio::awaitable<void> Agent::raiseEpoch()
{
    auto raised = co_await this->epoch.raise();
    while (!isOk(raised) && !this->stopped) {
        spdlog::info("event=epoch_not_raised error={:?}", error(raised).message);
        co_await pauseFor(EpochRetryDelay);
        raised = co_await this->epoch.raise();
    }
    if (this->stopped)
        co_return;
    spdlog::info("event=epoch_raised epoch={}", this->epoch.epoch());
    if (this->controller)
        this->controller->acquireControl(this->epoch.epoch());
    this->publishStatus();
    co_await this->watchEpoch();
}

asio::awaitable<void> Agent::watchEpoch()
{
    while (!this->stopped) {
        co_await pauseFor(EpochCheckInterval);
        const auto checked = co_await this->epoch.check();
        if (!isOk(checked) && error(checked).kind == ErrorKind::Stale)
            this->reportSuperseded();
    }
}

asio::awaitable<void> Agent::watchService()
{
    while (!this->stopped) {
        const bool reachable = co_await this->service->isReachable(std::chrono::seconds(1));
        if (reachable == this->serviceLost)
            spdlog::info("event=service_reachable value={}", reachable);
        this->serviceLost = !reachable;
        this->publishStatus();
        co_await pauseFor(ServiceCheckInterval);
    }
}

asio::awaitable<void> Agent::tick()
{
    while (!this->stopped) {
        const Instant now = std::chrono::steady_clock::now();
        if (!this->node.isFresh(now))
            this->freshSince.reset();
        else if (!this->freshSince)
            this->freshSince = now;
        this->runner->sweep();
        this->ticker.expires_after(milliseconds(100));
        co_await this->ticker.async_wait(Await);
    }
}

bool Agent::acceptsWork() const
{
    return this->node.isFresh(std::chrono::steady_clock::now()) ||
           this->node.isPlatformUnreachable();
}

void Agent::reportSuperseded()
{
    spdlog::error("event=agent_superseded upstream={}", this->settings.upstream().name());
    if (this->onSuperseded)
        this->onSuperseded();
}

void Agent::setDraining(bool nowDraining)
{
    this->runner->setDraining(nowDraining);
    spdlog::info("event=draining value={}", nowDraining);
    this->publishStatus();
}

void Agent::handleDrain(const proto::DrainRequest &request,
                        const std::function<void(proto::ControlReply)> &reply)
{
    proto::ControlReply answer;
    auto &drain = *answer.mutable_drain();
    const bool isOurs = request.upstream() == this->settings.upstream().name();
    drain.set_accepted(isOurs && !this->leaving);
    if (!isOurs)
        drain.set_message("this agent serves " + this->settings.upstream().name());
    else if (this->leaving)
        drain.set_message("the agent is stopping");
    else
        this->setDraining(!request.undo());
    reply(std::move(answer));
}

Address Agent::advertisedDataAddress() const
{
    const auto &advertised = this->settings.agent().advertise();
    return advertised.empty() ? this->boundData : value(parseAddress(advertised));
}

asio::awaitable<void> Agent::abortOpenAttemptsAt(Instant deadline)
{
    co_await pauseFor(deadline - clockNow());
    if (!this->stopped)
        this->runner->abortOpenAttempts();
}

asio::awaitable<void> Agent::stop()
{
    this->leaving = true;
    this->setDraining(true);
    // Concurrent with the rest of the stop, which may wait for the platform.
    asio::co_spawn(this->context, this->abortOpenAttemptsAt(clockNow() + this->drainTime()),
                   asio::detached);
    co_await this->node.announceLeaving();
    // Data connections stay open until the last answer has been written and can no longer be
    // resumed.
    while (this->runner->openCount() > 0)
        co_await pauseFor(milliseconds(20));
    this->stopped = true;
    if (this->controller)
        this->controller->stop();
    this->ticker.cancel();
    this->dataServer->stop();
    this->admin->drain();
    this->planner.stop();
    this->claimService.stop();
    this->node.stop();
}

} // namespace tray
