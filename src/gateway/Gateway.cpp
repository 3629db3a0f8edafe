// Follows the store, the stewards and the peer gateways, and runs the graceful shutdown.
#include "gateway/Gateway.h"

#include "base/Hash.h"
#include "gateway/Exchange.h"
#include "net/KeepRunning.h"
#include "net/Pause.h"
#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Maximum wait of one watch of the configuration.
constexpr Duration ConfigWatchTimeout = std::chrono::seconds(10);
// Maximum wait of one watch of the configuration at the gateway that reads the instance list. A
// lost answer is noticed after this time and the timeout of a call; the other gateways of the data
// centre hear of the version from this one.
constexpr Duration ReaderConfigWatchTimeout = std::chrono::seconds(2);
// Time after a failure of the store during which the loop of the instance list also reads the
// configuration. The configuration's own watch has certainly ended by then.
constexpr Duration ConfigWatchSuspectTime = ConfigWatchTimeout + std::chrono::seconds(2);
// Pause after a change of the configuration, so that a series of changes costs few calls. It is
// short compared with the seconds within which a change must be in force.
constexpr Duration ConfigWatchPause = milliseconds(250);
// Pause after a change of the instance list, so that a series of changes costs few calls. It is
// short compared with the seconds within which a change must be in force.
constexpr Duration UpstreamWatchPause = milliseconds(400);
// Pause after changes of the instance list that concern only what engines hold. Such changes never
// cease, each read of them by each gateway is a call to the store, and the stewards report them
// sooner.
constexpr Duration HoldingsWatchPause = ListRelay::MaxReadPause;
// Delay after which a newer configuration reported by a peer is read from the store, if the watch
// has not delivered it. Several times the pause between two watches of the configuration.
constexpr Duration PeerConfigReadDelay = milliseconds(700);
// Initial backoff after a failed call to the store; doubles with each failure.
constexpr Duration InitialRetryBackoff = milliseconds(150);
// Maximum backoff after a failed call to the store.
constexpr Duration MaxRetryBackoff = milliseconds(900);
// Time after which the answer of a call that does not wait is overdue.
constexpr Duration AnswerOverdueTime = std::chrono::seconds(1);
// Maximum time between two snapshots of an engine in this region.
constexpr Duration SnapshotPeriod = milliseconds(250);
// Maximum time between two snapshots of an engine in another region. Such engines get little work
// from this gateway, and the bandwidth between regions is small.
constexpr Duration RemoteSnapshotPeriod = milliseconds(900);
// Time between two subscriptions to the same steward. A subscription expires after several of these
// periods.
constexpr Duration SubscribePeriod = std::chrono::seconds(1);
// Time within which the load balancer detects that readiness was withdrawn: two readiness checks, a
// second apart.
constexpr Duration BalancerDetectionTime = milliseconds(2300);
// Interval at which the completion of a drain is checked.
constexpr Duration DrainCheckInterval = milliseconds(20);
// Minimum number of gateways among which the retry allowance is divided. It covers the time before
// the peers are known.
constexpr size_t MinGatewayCount = 6;

HttpServerLimits toServerLimits(const CallerLimits &limits)
{
    return {limits.headerBytes, limits.bodyBytes, limits.headerTimeout, limits.idleTimeout};
}

std::string findRegion(const GatewaySettings &settings, const std::string &dataCentre)
{
    for (const auto &[name, region] : settings.regionByDataCentre) {
        if (name == dataCentre)
            return region;
    }
    return "";
}

Proximity findProximity(const GatewaySettings &settings, const std::string &one,
                        const std::string &other)
{
    if (one == other)
        return Proximity::SameDataCentre;
    return findRegion(settings, one) == findRegion(settings, other) ? Proximity::SameRegion
                                                                    : Proximity::OtherRegion;
}

/// Returns the error response to a request that was not read completely or whose handler threw.
HttpResponse makeRefusal(const RequestCodec &codec, const Error &reason)
{
    const auto &answer = errorAnswer(reason.kind);
    logDecision(codec.statesNotExecuted(answer.httpStatus) ? LogPriority::Essential
                                                           : LogPriority::Notable,
                clockNow(),
                fmt::format("event=request_not_handled outcome={} status={} reason={:?}",
                            enumName(reason.kind), answer.httpStatus, reason.message));
    std::optional<Duration> retryAfter;
    if (reason.kind == ErrorKind::Draining)
        retryAfter = ShutdownSchedule::DrainRetryAfter;
    else if (answer.retryAfterMs > 0 && answer.ran == Ran::No)
        retryAfter = milliseconds(answer.retryAfterMs);
    return codec.makeErrorResponse("", answer.httpStatus, std::string(answer.type), reason.message,
                                   retryAfter);
}

} // namespace

Gateway::Gateway(asio::io_context &context, GatewaySettings settings, FleetStore &store,
                 const RequestCodec &codec, Metrics &metrics)
    : context(context), settings(std::move(settings)), store(store), codec(codec), metrics(metrics),
      bodyMemory(this->settings.bodyMemoryBytes), client(context),
      callerServer(
          context,
          [this](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
              Exchange exchange(*this, std::move(request), responder, clockNow());
              co_await exchange.run();
          },
          {}, [&codec](const Error &reason) { return makeRefusal(codec, reason); },
          &this->bodyMemory),
      readinessServer(context,
                      [this](HttpRequest, HttpResponder &responder) -> asio::awaitable<void> {
                          HttpResponse answer =
                              makeResponse(this->isReady() ? 200 : 503, "text/plain", "");
                          co_await responder.respond(std::move(answer));
                      }),
      datagrams(context, this->settings.instance,
                [this](const proto::Datagram &datagram, const Address &sender) {
                    this->handleDatagram(datagram, sender);
                }),
      listRelay(this->settings.instance, this->settings.cpuCores), listConfirmed(context),
      listUpdateArrived(context),
      dispatcher(
          [this](const std::string &dataCentre) {
              return findProximity(this->settings, this->settings.dataCentre, dataCentre);
          },
          [this](const std::string &upstreamId, double limitPerSecond) {
              return this->computeShareOfLimit(upstreamId, limitPerSecond);
          },
          hash64(this->settings.instance)),
      snapshotArrived(context), capacityChanged(context),
      admissionClient(std::make_shared<AdmissionClient>(
          context, newNonce(),
          AdmissionClient::Hooks{[this](const proto::Datagram &datagram, const Address &target) {
                                     this->datagrams.send(target, datagram);
                                 },
                                 [this](const std::string &upstreamId, uint32_t promptTokens) {
                                     this->dispatcher.beginAdmission(upstreamId, promptTokens);
                                 },
                                 [this](const std::string &upstreamId, uint32_t promptTokens) {
                                     this->dispatcher.endAdmission(upstreamId, promptTokens);
                                 }})),
      plannerCoordinator(
          context, this->settings.instance, this->settings.dataCentre, this->settings.cpuCores,
          this->settings.datagramAddress, this->settings.loadLimits,
          {store, this->datagrams, this->dispatcher, this->demand,
           [this](const UpstreamEntry &entry) { return this->stewardAddress(entry); },
           [this] { return this->config; },
           [this]() -> const std::map<std::string, UpstreamEntry> & {
               return this->directory.entries();
           },
           [this] { this->subscribeAll(); }}),
      suspectExchange(context, client,
                      {[this](const proto::Datagram &datagram) {
                           this->plannerCoordinator.sendToDataCentrePeers(datagram);
                       },
                       [this](const proto::Datagram &datagram, uint64_t selector) {
                           this->plannerCoordinator.sendToOtherDataCentres(datagram, selector);
                       },
                       [this](const proto::Datagram &datagram, uint64_t selector) {
                           this->plannerCoordinator.sendToDataCentrePeer(datagram, selector);
                       },
                       [this](const proto::Datagram &datagram, const std::string &peer) {
                           this->plannerCoordinator.sendTo(peer, datagram);
                       },
                       [this](const std::string &peer) {
                           return this->plannerCoordinator.isDataCentrePeer(peer);
                       },
                       [this](uint64_t digest) { return this->countBeforeInProbes(digest); },
                       [this](const std::string &upstream, uint64_t startedAtMs) {
                           this->recordRefusal(upstream, startedAtMs);
                       },
                       [this] { this->capacityChanged.notifyAll(); }}),
      suspectRecords(context, store, this->settings.dataCentre,
                     {[this] { return this->listRelay.isReader(); },
                      [this](size_t limit, Instant now) {
                          return this->suspectExchange.crashTracker().findRefused(limit, now);
                      },
                      [this](const proto::SuspectReport &stored, Instant now) {
                          this->suspectExchange.handleStored(stored, now);
                      }}),
      versionRecords(context, store,
                     {[this] { return this->listRelay.isReader(); },
                      [this] { return this->listRelay.revision(); },
                      [this](Instant now) {
                          return this->listEra == this->store.era() &&
                                 !this->directory.isListUnreliable(now);
                      },
                      [this](const std::string &service) {
                          return this->dispatcher.hasDoubtfulIncarnation(service);
                      }}),
      streamOrigins(context,
                    {[this]() -> const std::map<std::string, UpstreamEntry> & {
                         return this->directory.entries();
                     },
                     [this](const std::string &service) {
                         const auto *spec =
                             this->config ? this->config->findService(service) : nullptr;
                         return spec != nullptr && spec->engine != nullptr;
                     },
                     [this](const UpstreamEntry &entry) { return this->stewardAddress(entry); },
                     [this](Instant now) {
                         std::vector<std::string> names;
                         for (auto &[name, dataCentre] : this->plannerCoordinator.livePeers(now))
                             names.push_back(std::move(name));
                         return names;
                     },
                     [this](const proto::Datagram &datagram, const Address &target) {
                         this->datagrams.send(target, datagram);
                     },
                     [this](const proto::Datagram &datagram, const std::string &peer) {
                         this->plannerCoordinator.sendTo(peer, datagram);
                     },
                     [this](std::string service, Instant limit) {
                         return this->versionRecords.findSoleVersion(std::move(service), limit);
                     },
                     [this](Instant now) { return this->shutdownSchedule.isAnswerDue(now); }}),
      quotas(context, this->settings.instance, this->settings.quotaBounds, metrics,
             {[this] { return this->config; },
              [this] {
                  std::vector<HomeCandidate> candidates;
                  for (auto &[name, dataCentre] : this->plannerCoordinator.livePeers(clockNow())) {
                      const bool isStopping = this->plannerCoordinator.isPeerStopping(name);
                      candidates.push_back({std::move(name), isStopping});
                  }
                  return candidates;
              },
              [this](const proto::Datagram &datagram, const std::string &peer) {
                  this->plannerCoordinator.sendTo(peer, datagram);
              },
              [this](const proto::Datagram &datagram, const Address &target) {
                  this->datagrams.send(target, datagram);
              }})
{}

Gateway::~Gateway() = default;

void Gateway::registerGauges()
{
    this->metrics.gauge("tray_gateway_in_flight",
                        [this] { return static_cast<double>(this->callerServer.inFlight()); });
    this->metrics.gauge("tray_gateway_waiting_prompts",
                        [this] { return static_cast<double>(this->prefillQueue.size()); });
    this->metrics.gauge("tray_gateway_admissions_open", [this] {
        return static_cast<double>(this->admissionClient->openAdmissions());
    });
    this->metrics.gauge("tray_gateway_upstreams",
                        [this] { return static_cast<double>(this->directory.entries().size()); });
    this->metrics.gauge("tray_gateway_slow_upstreams", [this] {
        return static_cast<double>(this->dispatcher.countSlow(clockNow()));
    });
    this->metrics.gauge("tray_gateway_pausing_upstreams", [this] {
        return static_cast<double>(this->dispatcher.countPausing(clockNow()));
    });
    this->metrics.gauge("tray_gateway_held_prefixes",
                        [this] { return static_cast<double>(this->dispatcher.prefixes().size()); });
    this->metrics.gauge("tray_gateway_config_version", [this] {
        return this->config ? static_cast<double>(this->config->version) : 0;
    });
    this->metrics.gauge("tray_gateway_store_reachable",
                        [this] { return this->storeReachable ? 1.0 : 0.0; });
    this->metrics.gauge("tray_gateway_planner_term",
                        [this] { return static_cast<double>(this->plannerCoordinator.ownTerm()); });
    this->metrics.gauge("tray_gateway_told_streams",
                        [this] { return static_cast<double>(this->streamOrigins.toldStreams()); });
    this->metrics.gauge("tray_gateway_body_memory_bytes",
                        [this] { return static_cast<double>(this->bodyMemory.usedBytes()); });
    this->metrics.gauge("tray_gateway_connections_dialled",
                        [this] { return static_cast<double>(this->client.dialled()); });
    this->metrics.gauge("tray_gateway_log_lines_over_budget",
                        [] { return static_cast<double>(missingLogLines().overBudget); });
    this->metrics.gauge("tray_gateway_log_lines_not_taken",
                        [] { return static_cast<double>(missingLogLines().notTaken); });
}

Result<Unit> Gateway::start()
{
    this->registerGauges();
    if (const auto bound = this->datagrams.listen(this->settings.datagramAddress); !isOk(bound))
        return error(bound);
    if (const auto bound = this->readinessServer.listen(this->settings.readinessAddress);
        !isOk(bound))
        return error(bound);
    if (const auto bound = this->callerServer.listen(this->settings.callerAddress); !isOk(bound))
        return error(bound);
    keepRunning(this->context, "follow_config", [this] { return this->followConfig(); });
    keepRunning(this->context, "follow_upstreams", [this] { return this->followUpstreams(); });
    keepRunning(this->context, "relay_loop", [this] { return this->listUpdateLoop(); });
    keepRunning(this->context, "catch_up_config", [this] { return this->catchUpConfig(); });
    keepRunning(this->context, "subscribe_loop", [this] { return this->subscribeLoop(); });
    this->plannerCoordinator.start();
    this->quotas.start();
    this->versionRecords.start();
    this->suspectRecords.start(clockNow());
    return Unit{};
}

asio::awaitable<void> Gateway::waitUntilDrained(Instant limit)
{
    while (!this->callerServer.isDrained() && clockNow() < limit)
        co_await pauseFor(DrainCheckInterval);
}

asio::awaitable<void> Gateway::stop()
{
    this->shutdownSchedule.begin(clockNow(), this->settings.shutdownGracePeriod,
                                 this->settings.cpuCores);
    this->callerServer.disableKeepAlive();
    this->quotas.leave();
    this->plannerCoordinator.announceStop(clockNow());
    logDecision(LogPriority::Notable, clockNow(),
                fmt::format("event=stop_begin in_flight={}", this->callerServer.inFlight()));
    this->reserveFinalResponses();
    // Waiting requests check again whether they may continue.
    this->capacityChanged.notifyAll();
    // Callers still connect until the load balancer has noticed. They are served with "Connection:
    // close", so that they reconnect elsewhere.
    const Instant drainFrom =
        std::min(clockNow() + BalancerDetectionTime, this->shutdownSchedule.drainDeadline());
    bool isDraining = false;
    bool isAnswering = false;
    while (!this->callerServer.isDrained() && !this->shutdownSchedule.isDrainOver(clockNow())) {
        if (!isDraining && clockNow() >= drainFrom) {
            isDraining = true;
            this->callerServer.drain();
        }
        if (!isAnswering) {
            this->reserveFinalResponses();
            isAnswering = this->shutdownSchedule.isAnswerDue(clockNow());
            if (isAnswering)
                this->answerWaitingRequests();
        }
        co_await pauseFor(DrainCheckInterval);
    }
    this->callerServer.drain();
    logDecision(LogPriority::Essential, clockNow(),
                fmt::format("event=stop_drain_over in_flight={} late_ms={}",
                            this->callerServer.inFlight(),
                            toMs(clockNow() - this->shutdownSchedule.drainDeadline())));
    for (auto *exchange : *this->activeExchanges)
        exchange->abortForShutdown(clockNow());
    this->callerServer.refuseIncompleteRequests();
    this->capacityChanged.notifyAll();
    this->snapshotArrived.notifyAll();
    co_await this->waitUntilDrained(this->shutdownSchedule.finalResponseDeadline());
    logDecision(LogPriority::Essential, clockNow(),
                fmt::format("event=stop_end in_flight={} late_ms={}", this->callerServer.inFlight(),
                            toMs(clockNow() - this->shutdownSchedule.finalResponseDeadline())));
    this->plannerCoordinator.stop();
    this->versionRecords.stop();
    this->quotas.stop();
    this->suspectRecords.stop();
    this->datagrams.close();
}

void Gateway::reserveFinalResponses()
{
    const auto unanswered =
        std::count_if(this->activeExchanges->begin(), this->activeExchanges->end(),
                      [](const Exchange *exchange) { return !exchange->isAnswerArriving(); });
    this->shutdownSchedule.reserveFinalResponses(static_cast<size_t>(unanswered));
}

void Gateway::answerWaitingRequests()
{
    const Instant now = clockNow();
    size_t count = 0;
    for (auto *exchange : *this->activeExchanges) {
        if (exchange->isAnswerArriving())
            continue;
        ++count;
        exchange->abortForShutdown(now);
    }
    logDecision(LogPriority::Essential, now,
                fmt::format("event=stop_answers_due waiting={} late_ms={} before_end_ms={}", count,
                            toMs(now - this->shutdownSchedule.answerDeadline()),
                            toMs(this->shutdownSchedule.finalResponseDeadline() - now)));
    this->capacityChanged.notifyAll();
    this->snapshotArrived.notifyAll();
    this->streamOrigins.handleAnswersDue();
    this->versionRecords.handleAnswersDue();
}

bool Gateway::isReady() const
{
    return this->config != nullptr && this->upstreamsKnown &&
           this->suspectRecords.isSettled(clockNow()) && !this->shutdownSchedule.isStopping();
}

void Gateway::recordStoreSuccess()
{
    const Instant now = clockNow();
    this->directory.noteStoreAnswer(now);
    if (!std::exchange(this->storeReachable, true)) {
        logDecision(LogPriority::Notable, now, "event=store_regained");
        this->versionRecords.requestRead();
    }
}

void Gateway::recordListEra()
{
    const auto previous = std::exchange(this->listEra, this->store.era());
    if (!previous || this->listEra == previous)
        return;
    const Instant now = clockNow();
    this->directory.noteStoreRestored(now);
    // A watch from before the restore may still wait for a revision that comes late.
    this->configSuspectUntil = now + ConfigWatchSuspectTime;
    logDecision(LogPriority::Notable, now,
                fmt::format("event=list_restored era={} previous={}", *this->listEra, *previous));
}

void Gateway::recordStoreFailure(Instant calledAt, Duration wait, const std::string &reason)
{
    const Instant now = clockNow();
    const bool isOverdue = now >= calledAt + wait + AnswerOverdueTime;
    const bool isNews = isOverdue ? this->directory.noteOverdueAnswer(calledAt, now)
                                  : this->directory.noteEarlyFailure(calledAt, now);
    const bool isInDoubt = this->directory.isStoreInDoubt();
    if (isNews || isInDoubt || isOverdue)
        this->configSuspectUntil = now + ConfigWatchSuspectTime;
    if (isNews && !std::exchange(this->storeReachable, false))
        return;
    // Requests do not wait for a store that fails.
    if (isNews)
        this->listConfirmed.notifyAll();
    std::string_view event = "store_call_outdated";
    if (isNews)
        event = "store_lost";
    else if (isInDoubt)
        event = "store_in_doubt";
    logDecision(
        LogPriority::Notable, now,
        fmt::format("event={} call_ms={} reason={:?}", event, toMs(now - calledAt), reason));
}

void Gateway::applyConfig(const ConfigSnapshot &reading)
{
    if (!reading.config)
        return;
    // An older version comes from an object that was overwritten, or from a store that was restored
    // from an older copy.
    if (this->config && reading.config->version < this->config->version) {
        logDecision(LogPriority::Notable, clockNow(),
                    fmt::format("event=config_ignored version={} revision={} in_force={}",
                                reading.config->version, reading.revision, this->config->version));
        return;
    }
    const Instant now = clockNow();
    if (!this->config || reading.config->version > this->config->version)
        this->configReadDueAt = now + PeerConfigReadDelay;
    this->config = reading.config;
    this->engineDigests.clear();
    for (const auto &service : this->config->services) {
        if (service.engine)
            this->engineDigests[service.name] = service.engine->digest();
    }
    this->dispatcher.setHasAccounts(this->config->accounts != nullptr);
    this->versionRecords.handleConfig(*this->config);
    this->demand.handleConfig(*this->config);
    this->callerServer.setLimits(toServerLimits(this->config->limits));
    logDecision(LogPriority::Notable, now,
                fmt::format("event=config_in_force version={} revision={} routes={}",
                            this->config->version, reading.revision, this->config->routes.size()));
}

asio::awaitable<void> Gateway::followConfig()
{
    uint64_t revision = 0;
    Duration backoff = InitialRetryBackoff;
    bool hasFailed = false;
    while (!this->shutdownSchedule.isStopping()) {
        // A call that does not wait shows soonest whether the store works.
        Duration wait = ConfigWatchTimeout;
        if (hasFailed)
            wait = Duration::zero();
        else if (this->listRelay.isReader())
            wait = ReaderConfigWatchTimeout;
        // Not a single conditional expression, because g++ 12 destroys its awaited temporaries
        // twice.
        const Instant calledAt = clockNow();
        Result<ConfigSnapshot> reading;
        if (revision == 0)
            reading = co_await this->store.readConfig();
        else
            reading = co_await this->store.awaitConfig(revision, wait);
        if (isOk(reading)) {
            hasFailed = false;
            this->recordStoreSuccess();
            this->applyConfig(value(reading));
            revision = value(reading).revision;
            backoff = InitialRetryBackoff;
            if (value(reading).config)
                co_await pauseFor(ConfigWatchPause);
            continue;
        }
        const Error problem = error(reading);
        if (problem.kind == ErrorKind::Stale) {
            logDecision(LogPriority::Notable, clockNow(),
                        fmt::format("event=config_forgotten revision={} reason={:?}", revision,
                                    problem.message));
            revision = 0;
            continue;
        }
        if (problem.kind != ErrorKind::NotFound)
            this->recordStoreFailure(calledAt, revision == 0 ? Duration::zero() : wait,
                                     problem.message);
        hasFailed = true;
        co_await pauseFor(backoff);
        backoff = std::min(backoff * 2, MaxRetryBackoff);
    }
}

asio::awaitable<void> Gateway::refreshConfig()
{
    if (clockNow() >= this->configSuspectUntil)
        co_return;
    const Instant calledAt = clockNow();
    const auto reading = co_await this->store.readConfig();
    if (isOk(reading))
        this->applyConfig(value(reading));
    else if (error(reading).kind != ErrorKind::NotFound)
        this->recordStoreFailure(calledAt, Duration::zero(), error(reading).message);
}

Duration Gateway::upstreamWatchTimeout() const
{
    // The store is read without waiting if it was unreachable, which detects its return soonest, or
    // if this gateway is not the reader and only catches up with what the store has told a peer.
    const bool mayWait = this->listRelay.revision() != 0 && this->storeReachable &&
                         !this->directory.isStoreInDoubt() && this->listRelay.isReader();
    return mayWait ? this->listRelay.readWait(clockNow()) : Duration::zero();
}

asio::awaitable<Result<UpstreamDirectory::Notices>> Gateway::readUpstreams(Duration wait)
{
    const Instant calledAt = clockNow();
    if (this->listRelay.revision() == 0) {
        auto reading = co_await this->store.readUpstreams();
        if (!isOk(reading))
            co_return error(reading);
        const Instant now = clockNow();
        this->recordStoreSuccess();
        this->recordListEra();
        this->versionRecords.noteHistoryGap();
        this->listRelay.handleFullRead(value(reading).revision, now);
        auto notices = this->directory.replaceAll(value(reading).entries, now);
        this->upstreamsKnown = true;
        this->versionRecords.handleList(this->directory.entries(), now);
        this->recordListConfirmed(calledAt, now);
        this->listAge.noteRead(calledAt, now);
        co_return notices;
    }
    const uint64_t seenBefore = this->listRelay.highestSeenRevision();
    auto reading = co_await this->store.awaitUpstreams(this->listRelay.revision(), wait);
    if (!isOk(reading))
        co_return error(reading);
    const Instant now = clockNow();
    this->recordStoreSuccess();
    // A reader can only have reported what the store contained at that time. Either the report was
    // wrong, or the store has lost its latest changes.
    if (value(reading).revision < seenBefore)
        co_return Error{ErrorKind::Stale, "the store is behind what was heard before the call"};
    this->recordListConfirmed(calledAt, now);
    UpstreamDirectory::Notices notices;
    if (this->listRelay.isOutdated(value(reading).revision))
        co_return notices;
    this->versionRecords.handleListChanges(value(reading).changes, now);
    for (const auto &change : value(reading).changes) {
        const auto more = this->directory.apply(change, now);
        notices.insert(notices.end(), more.begin(), more.end());
    }
    // A watch without changes was answered when its wait was over, however late that is read here.
    const Duration waited = value(reading).changes.empty() ? wait : Duration::zero();
    this->listAge.noteRead(std::min<Instant>(calledAt + waited, now), now);
    for (auto &update :
         this->listRelay.handleStoreChanges(value(reading).revision, value(reading).changes, now))
        this->sendListUpdate(std::move(update));
    co_return notices;
}

asio::awaitable<void> Gateway::followUpstreams()
{
    Duration backoff = InitialRetryBackoff;
    // Requests are still sent to upstreams during a shutdown.
    while (!this->shutdownSchedule.isDrainOver(clockNow())) {
        // A call that does not wait shows whether the store works if another one has failed.
        if (!this->listRelay.shouldReadStore(clockNow()) && !this->directory.isStoreInDoubt() &&
            !this->listAge.isOverdue(clockNow())) {
            co_await this->listUpdateArrived.waitFor(ListRelay::CheckPeriod);
            continue;
        }
        const Instant calledAt = clockNow();
        const Duration wait = this->upstreamWatchTimeout();
        const auto notices = co_await this->readUpstreams(wait);
        if (isOk(notices)) {
            this->applyUpstreamNotices(value(notices));
            this->listConfirmed.notifyAll();
            backoff = InitialRetryBackoff;
            const Instant answeredAt = clockNow();
            co_await this->refreshConfig();
            const bool onlyHoldings =
                std::all_of(value(notices).begin(), value(notices).end(), [](const auto &notice) {
                    return notice.event == UpstreamEvent::Updated;
                });
            if (!value(notices).empty() && this->listRelay.isReader())
                co_await pauseFor(answeredAt +
                                  (onlyHoldings ? HoldingsWatchPause : UpstreamWatchPause) -
                                  clockNow());
            continue;
        }
        const Error problem = error(notices);
        if (problem.kind == ErrorKind::Stale) {
            logDecision(LogPriority::Notable, clockNow(),
                        fmt::format("event=list_forgotten revision={} reason={:?}",
                                    this->listRelay.highestSeenRevision(), problem.message));
            this->listRelay.resetRevision();
            continue;
        }
        this->recordStoreFailure(calledAt, wait, problem.message);
        if (auto update = this->listRelay.handleStoreFailure(clockNow()))
            this->sendListUpdate(std::move(*update));
        co_await pauseFor(backoff);
        backoff = std::min(backoff * 2, MaxRetryBackoff);
    }
}

asio::awaitable<void> Gateway::listUpdateLoop()
{
    bool wasReader = false;
    while (!this->shutdownSchedule.isStopping()) {
        const Instant now = clockNow();
        this->listAge.noteRunning(now);
        if (wasReader != this->listRelay.isReader()) {
            wasReader = this->listRelay.isReader();
            logDecision(LogPriority::Notable, now,
                        fmt::format("event=list_reader reads={} revision={}", wasReader,
                                    this->listRelay.revision()));
        }
        if (auto update = this->listRelay.takeDueUpdate(now))
            this->sendListUpdate(std::move(*update));
        co_await pauseFor(ListRelay::CheckPeriod);
    }
}

asio::awaitable<void> Gateway::catchUpConfig()
{
    while (!this->shutdownSchedule.isStopping()) {
        const Instant now = clockNow();
        // The watch of the configuration may hang without an error, so a newer version that a peer
        // has reported is read explicitly.
        if (this->isConfigOutdated() && now >= this->configReadDueAt) {
            const auto reading = co_await this->store.readConfig();
            if (isOk(reading))
                this->applyConfig(value(reading));
            else
                this->recordStoreFailure(now, Duration::zero(), error(reading).message);
            this->configReadDueAt = clockNow() + PeerConfigReadDelay;
        }
        co_await pauseFor(ListRelay::HeartbeatPeriod);
    }
}

bool Gateway::isConfigOutdated() const
{
    return this->config && this->peerConfigVersion > this->config->version;
}

void Gateway::sendListUpdate(proto::ListWord update)
{
    update.set_config_version(this->config ? this->config->version : 0);
    const Instant now = clockNow();
    update.set_disturbed(this->directory.isListUnreliable(now));
    update.set_unreliable_ms(static_cast<uint32_t>(toMs(this->directory.unreliableTimeLeft(now))));
    proto::Datagram datagram;
    *datagram.mutable_list_word() = std::move(update);
    this->plannerCoordinator.sendToDataCentrePeers(datagram);
}

void Gateway::handleListUpdate(const proto::ListWord &update)
{
    const Instant now = clockNow();
    const bool wasOutdated = this->isConfigOutdated();
    this->peerConfigVersion = std::max(this->peerConfigVersion, update.config_version());
    // Further versions do not put off the read: a series of them may be long.
    if (!wasOutdated && this->isConfigOutdated())
        this->configReadDueAt = now + PeerConfigReadDelay;
    const auto changes = this->listRelay.handleUpdate(update, now);
    this->listAge.noteHeard(this->listRelay.heardAnswerTime(), now);
    // A reader sends updates only while the store answers it.
    if (this->upstreamsKnown && !update.resigns() &&
        this->listRelay.revision() >= update.revision())
        this->recordListConfirmed(
            update.disturbed() ? Instant{} : now - ListRelay::StoreAnswerLifetime, now);
    // Entries that vanished while the store was unreachable for the reader may be listed again.
    if (update.disturbed() && !changes.empty()) {
        // Instances of an earlier release do not say for how long.
        const Duration left = update.unreliable_ms() == 0
                                  ? UpstreamDirectory::RelistGracePeriod
                                  : Duration(milliseconds(update.unreliable_ms()));
        this->directory.notePeerUnreliable(left, now);
    }
    this->versionRecords.handleListChanges(changes, now);
    UpstreamDirectory::Notices notices;
    for (const auto &change : changes) {
        const auto more = this->directory.apply(change, now);
        notices.insert(notices.end(), more.begin(), more.end());
    }
    this->applyUpstreamNotices(notices);
    this->listUpdateArrived.notifyAll();
    this->listConfirmed.notifyAll();
}

Duration Gateway::listWaitTime(Instant now)
{
    const Duration wait = this->listAge.waitTime(now);
    if (!this->storeReachable)
        return Duration::zero();
    if (wait == ListAge::MaxWait)
        logDecision(LogPriority::Notable, now,
                    fmt::format("event=list_overdue age_ms={} revision={} reader={}",
                                toMs(this->listAge.age(now)), this->listRelay.revision(),
                                this->listRelay.isReader()));
    return wait;
}

void Gateway::applyUpstreamNotices(const UpstreamDirectory::Notices &notices)
{
    if (notices.empty())
        return;
    for (const auto &notice : notices) {
        if (notice.event != UpstreamEvent::Updated)
            logDecision(LogPriority::Notable, clockNow(),
                        fmt::format("event=upstream_{} upstream={}", enumName(notice.event),
                                    LogText{notice.id}));
    }
    this->dispatcher.setUpstreams(this->directory.entries());
    if (this->upstreamsKnown)
        this->versionRecords.handleList(this->directory.entries(), clockNow());
    // A steward may send orders to its engine only once it knows the engine's identity, so the
    // subscription, which contains it, is sent immediately for a new engine.
    for (const auto &notice : notices) {
        const auto entry = this->directory.entries().find(notice.id);
        if (notice.event == UpstreamEvent::Restarted || notice.event == UpstreamEvent::Removed)
            this->suspectExchange.handleUpstreamEnd(notice.id, clockNow());
        if (notice.event == UpstreamEvent::Restarted) {
            for (auto *exchange : *this->activeExchanges)
                exchange->handleUpstreamRestart(notice.id, clockNow());
        }
        if (notice.event == UpstreamEvent::Added)
            this->plannerCoordinator.recordListGrowth(clockNow());
        if ((notice.event == UpstreamEvent::Added || notice.event == UpstreamEvent::Restarted) &&
            entry != this->directory.entries().end())
            this->subscribe(entry->second);
    }
    // Continuations wait for upstreams of their software version.
    this->capacityChanged.notifyAll();
}

void Gateway::subscribe(const UpstreamEntry &entry)
{
    const auto *service = this->config ? this->config->findService(entry.service) : nullptr;
    if (service == nullptr || !service->engine)
        return;
    const bool plans = this->plannerCoordinator.isPlanner();
    if (!plans && !this->dispatcher.wantsSnapshots(entry.id, clockNow()))
        return;
    const bool isRemote = this->isInOtherRegion(entry.dataCentre);
    proto::Datagram datagram;
    auto *subscribe = datagram.mutable_subscribe();
    subscribe->set_upstream_id(entry.id);
    subscribe->set_born_ms(entry.startedAtMs);
    subscribe->set_period_ms(
        static_cast<uint32_t>(toMs(isRemote ? RemoteSnapshotPeriod : SnapshotPeriod)));
    subscribe->set_with_copies(plans);
    subscribe->set_store_era(this->store.era());
    subscribe->set_stamp(this->subscriptionStamps.present());
    subscribe->set_config_version(this->config->version);
    subscribe->set_engine_digest(this->engineDigests.at(entry.service));
    this->datagrams.send(this->stewardAddress(entry), std::move(datagram));
}

void Gateway::subscribeAll()
{
    for (const auto &[id, entry] : this->directory.entries())
        this->subscribe(entry);
}

void Gateway::recordUpstreamUse(const std::string &upstreamId)
{
    const bool wasWanted = this->dispatcher.wantsSnapshots(upstreamId, clockNow());
    this->dispatcher.noteChosen(upstreamId, clockNow());
    const auto entry = this->directory.entries().find(upstreamId);
    if (!wasWanted && entry != this->directory.entries().end())
        this->subscribe(entry->second);
}

asio::awaitable<void> Gateway::subscribeLoop()
{
    while (!this->shutdownSchedule.isDrainOver(clockNow())) {
        this->applyUpstreamNotices(this->directory.removeExpired(clockNow()));
        this->subscriptionStamps.renew(clockNow());
        this->subscribeAll();
        this->suspectExchange.runPeriodic(clockNow());
        this->dispatcher.directives().refresh(clockNow());
        this->admissionClient->repeatNotes(clockNow());
        co_await pauseFor(SubscribePeriod);
    }
}

void Gateway::handleSnapshot(const proto::EngineSnapshot &snapshot, const Address &steward)
{
    const Instant now = clockNow();
    this->streamOrigins.handleSteward(steward, snapshot.steward_incarnation(), now);
    if (const auto ranAt = this->subscriptionStamps.sentAt(snapshot.subscribe_stamp()))
        this->dispatcher.noteRunning(snapshot.upstream_id(), snapshot.born_ms(), *ranAt);
    if (this->dispatcher.noteSnapshot(snapshot, now)) {
        this->plannerCoordinator.requestPlan();
        // Requests wait for engines that load their models.
        this->capacityChanged.notifyAll();
    }
    this->snapshotArrived.notifyAll();
}

void Gateway::handleDatagram(const proto::Datagram &datagram, const Address &sender)
{
    if (datagram.has_snapshot()) {
        this->handleSnapshot(datagram.snapshot(), sender);
    } else if (datagram.has_admission_reply()) {
        this->admissionClient->handleReply(datagram.admission_reply(), sender, clockNow());
    } else if (datagram.has_list_word()) {
        this->handleListUpdate(datagram.list_word());
    } else if (datagram.has_suspects()) {
        this->suspectExchange.handleReport(datagram.sender(), datagram.suspects(), clockNow());
    } else if (datagram.has_stream_origins()) {
        this->streamOrigins.handleReport(datagram.sender(), sender, datagram.stream_origins(),
                                         clockNow());
    } else if (datagram.has_stream_origin_query()) {
        this->streamOrigins.handleQuery(datagram.stream_origin_query(), sender, clockNow());
    } else if (datagram.has_credit_ask()) {
        this->quotas.handleAsk(datagram.sender(), sender, datagram.credit_ask());
    } else if (datagram.has_credit_grant()) {
        this->quotas.handleGrant(datagram.sender(), datagram.credit_grant());
    } else if (datagram.has_upstream_doubt()) {
        this->handleUpstreamDoubt(datagram.sender(), datagram.upstream_doubt());
    } else if (datagram.has_demand()) {
        this->plannerCoordinator.handleDemandReport(datagram.sender(), datagram.demand(),
                                                    clockNow());
        this->streamOrigins.handlePeer(datagram.sender(), datagram.demand().incarnation(),
                                       clockNow());
        if (datagram.demand().stopping())
            this->quotas.notePeersChanged();
    }
}

void Gateway::recordRefusal(const std::string &upstreamId, uint64_t startedAtMs)
{
    const Instant now = clockNow();
    if (!this->dispatcher.noteRefusal(upstreamId, startedAtMs, now))
        return;
    logDecision(LogPriority::Notable, now,
                fmt::format("event=upstream_doubted upstream={} born_ms={} source=own",
                            LogText{upstreamId}, startedAtMs));
    proto::Datagram datagram;
    auto *doubt = datagram.mutable_upstream_doubt();
    doubt->set_upstream_id(upstreamId);
    doubt->set_born_ms(startedAtMs);
    this->plannerCoordinator.sendToDataCentrePeers(datagram);
    this->plannerCoordinator.sendToOtherDataCentres(datagram, hash64(upstreamId));
}

void Gateway::handleUpstreamDoubt(const std::string &sender, const proto::UpstreamDoubt &doubt)
{
    const Instant now = clockNow();
    if (!this->dispatcher.noteRefusal(doubt.upstream_id(), doubt.born_ms(), now))
        return;
    logDecision(LogPriority::Notable, now,
                fmt::format("event=upstream_doubted upstream={} born_ms={} source={}",
                            LogText{doubt.upstream_id()}, doubt.born_ms(), sender));
    // The sender has told its own data centre itself.
    if (this->plannerCoordinator.isDataCentrePeer(sender))
        return;
    proto::Datagram datagram;
    *datagram.mutable_upstream_doubt() = doubt;
    this->plannerCoordinator.sendToDataCentrePeers(datagram);
}

void Gateway::recordListConfirmed(Instant asOf, Instant now)
{
    this->versionRecords.confirmList(now);
    if (!this->directory.isListUnreliable(now))
        this->dispatcher.endDoubts(asOf);
}

Address Gateway::stewardAddress(const UpstreamEntry &entry) const
{
    return {entry.address.host, this->settings.stewardPort};
}

bool Gateway::isInOtherRegion(const std::string &dataCentre) const
{
    return findRegion(this->settings, dataCentre) != this->settings.region;
}

size_t Gateway::countGateways() const
{
    return std::max(this->plannerCoordinator.countGateways(clockNow()), MinGatewayCount);
}

LimitShare Gateway::computeShareOfLimit(const std::string &upstreamId, double limitPerSecond) const
{
    const auto entry = this->directory.entries().find(upstreamId);
    if (entry == this->directory.entries().end())
        return {};
    const auto &upstreamDataCentre = entry->second.dataCentre;
    std::vector<LimitSharer> sharers;
    const auto add = [&](const std::string &instance, const std::string &dataCentre) {
        const auto proximity = findProximity(this->settings, dataCentre, upstreamDataCentre);
        sharers.push_back({instance, static_cast<int>(proximity)});
    };
    add(this->settings.instance, this->settings.dataCentre);
    for (const auto &[instance, dataCentre] : this->plannerCoordinator.livePeers(clockNow()))
        add(instance, dataCentre);
    return computeLimitShare(this->settings.instance, upstreamId, sharers, limitPerSecond);
}

size_t Gateway::countBeforeInProbes(uint64_t suspectDigest) const
{
    const std::string key = toHex(suspectDigest);
    const uint64_t ownWeight = rendezvousWeight(key, this->settings.instance);
    const auto peers = this->plannerCoordinator.livePeers(clockNow());
    return static_cast<size_t>(std::count_if(peers.begin(), peers.end(), [&](const auto &peer) {
        return rendezvousWeight(key, peer.first) > ownWeight;
    }));
}

SharedRetryBudget &Gateway::retryBudgetOf(const std::string &service)
{
    return this->retryBudgets.try_emplace(service, this->settings.retryLimits).first->second;
}

} // namespace tray
