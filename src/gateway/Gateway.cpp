// Following the store, the stewards and the peers.
#include "gateway/Gateway.h"

#include "gateway/Exchange.h"
#include "net/KeepRunning.h"
#include "net/Pause.h"
#include "observe/DecisionLog.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Longest waits of one watch. A store that takes calls and answers none is noticed by the watch of
// the instance list, which seldom waits at all; the configuration is then read by that loop until
// its own watch has ended for sure.
constexpr Duration UpstreamWatchTime = std::chrono::seconds(2);
constexpr Duration ConfigWatchTime = std::chrono::seconds(10);
constexpr Duration ConfigSuspectTime = ConfigWatchTime + std::chrono::seconds(2);
// Pause after changes, so that a series of them costs few calls. Small against the seconds in which
// a change must be in force.
constexpr Duration ConfigPause = milliseconds(250);
constexpr Duration UpstreamPause = milliseconds(400);
// The same after changes of what engines hold, of which the stewards tell sooner: they never cease,
// and each look at them by each gateway is a call.
constexpr Duration HoldingsPause = milliseconds(1600);
// A peer's newer configuration is read from the store after this time, if the watch has not brought
// it: several times the pause between two watches.
constexpr Duration PeersConfigPatience = milliseconds(700);
// Pause after a failed call; doubles up to the longest.
constexpr Duration FirstRetry = milliseconds(150);
constexpr Duration LongestRetry = milliseconds(900);
// Longest time between two snapshots of an engine, of this region and of others. Engines of other
// regions get little work from here, and the bytes between regions are few.
constexpr Duration SnapshotPeriod = milliseconds(250);
constexpr Duration FarSnapshotPeriod = milliseconds(900);
// Time between two subscriptions to the same steward; they lapse after several.
constexpr Duration SubscribePeriod = std::chrono::seconds(1);
// Time for the balancer to see that readiness was withdrawn: two questions, a second apart.
constexpr Duration BalancerTime = milliseconds(2300);
// Time between two looks whether a drain is complete.
constexpr Duration DrainCheck = milliseconds(20);
// Gateways that share the repeats before the peers are known.
constexpr size_t UnknownGateways = 6;

HttpServerLimits toServerLimits(const CallerLimits &limits)
{
    return {limits.headerBytes, limits.bodyBytes, limits.headerTimeout, limits.idleTimeout};
}

std::string regionOf(const GatewaySettings &settings, const std::string &dataCentre)
{
    for (const auto &[name, region] : settings.regions) {
        if (name == dataCentre)
            return region;
    }
    return "";
}

/// Answer to a request that was not read whole.
HttpResponse refusalOf(const RequestCodec &codec, const Error &reason)
{
    const auto &answer = errorAnswer(reason.kind);
    std::optional<Duration> retryAfter;
    if (reason.kind == ErrorKind::Draining)
        retryAfter = StopWindow::ElsewhereRetry;
    return codec.refuse("", answer.httpStatus, std::string(answer.type), reason.message,
                        retryAfter);
}

} // namespace

Gateway::Gateway(asio::io_context &context, GatewaySettings settings, FleetStore &store,
                 const RequestCodec &codec, Metrics &metrics)
    : context(context), settings(std::move(settings)), store(store), codec(codec), metrics(metrics),
      client(context),
      callerServer(
          context,
          [this](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
              Exchange exchange(*this, std::move(request), responder, clockNow());
              co_await exchange.run();
          },
          {}, [&codec](const Error &reason) { return refusalOf(codec, reason); }),
      readinessServer(context,
                      [this](HttpRequest, HttpResponder &responder) -> asio::awaitable<void> {
                          HttpResponse answer =
                              makeResponse(this->isReady() ? 200 : 503, "text/plain", "");
                          co_await responder.respond(std::move(answer));
                      }),
      datagrams(context, this->settings.instance,
                [this](const proto::Datagram &datagram, const Address &sender) {
                    this->receive(datagram, sender);
                }),
      relay(this->settings.instance, this->settings.processorShare), listWordArrived(context),
      dispatcher([this](const std::string &dataCentre) {
          if (dataCentre == this->settings.dataCentre)
              return Proximity::SameDataCentre;
          return regionOf(this->settings, dataCentre) == this->settings.region
                     ? Proximity::SameRegion
                     : Proximity::OtherRegion;
      }),
      snapshotArrived(context), roomChanged(context),
      desk(context, this->settings.instance, this->settings.dataCentre,
           this->settings.processorShare, this->settings.datagrams, this->settings.loads,
           {store, this->datagrams, this->dispatcher, this->demand,
            [this](const UpstreamEntry &entry) { return this->stewardOf(entry); },
            [this] { return this->config; },
            [this]() -> const std::map<std::string, UpstreamEntry> & {
                return this->directory.entries();
            },
            [this] { this->subscribeAll(); }})
{}

Gateway::~Gateway() = default;

void Gateway::registerGauges()
{
    this->metrics.gauge("tray_gateway_in_flight",
                        [this] { return static_cast<double>(this->callerServer.inFlight()); });
    this->metrics.gauge("tray_gateway_waiting_prompts",
                        [this] { return static_cast<double>(this->room.size()); });
    this->metrics.gauge("tray_gateway_upstreams",
                        [this] { return static_cast<double>(this->directory.entries().size()); });
    this->metrics.gauge("tray_gateway_config_version", [this] {
        return this->config ? static_cast<double>(this->config->version) : 0;
    });
    this->metrics.gauge("tray_gateway_store_reachable",
                        [this] { return this->storeReachable ? 1.0 : 0.0; });
    this->metrics.gauge("tray_gateway_connections_dialled",
                        [this] { return static_cast<double>(this->client.dialled()); });
}

Result<Unit> Gateway::start()
{
    this->registerGauges();
    if (const auto bound = this->datagrams.listen(this->settings.datagrams); !isOk(bound))
        return error(bound);
    if (const auto bound = this->readinessServer.listen(this->settings.readiness); !isOk(bound))
        return error(bound);
    if (const auto bound = this->callerServer.listen(this->settings.callers); !isOk(bound))
        return error(bound);
    keepRunning(this->context, "follow_config", [this] { return this->followConfig(); });
    keepRunning(this->context, "follow_upstreams", [this] { return this->followUpstreams(); });
    keepRunning(this->context, "relay_loop", [this] { return this->relayLoop(); });
    keepRunning(this->context, "subscribe_loop", [this] { return this->subscribeLoop(); });
    this->desk.start();
    return Unit{};
}

asio::awaitable<void> Gateway::awaitDrain(Instant limit)
{
    while (!this->callerServer.isDrained() && clockNow() < limit)
        co_await pauseFor(DrainCheck);
}

asio::awaitable<void> Gateway::stop()
{
    this->stopWindow.begin(clockNow(), this->settings.stopGrace);
    this->callerServer.beginLeaving();
    logDecision(LogWeight::Notable, clockNow(),
                fmt::format("event=stop_begin in_flight={}", this->callerServer.inFlight()));
    // Those that wait look again whether they may go on.
    this->roomChanged.raise();
    // Callers still arrive until the balancer has noticed; they are served and told to move on.
    co_await pauseFor(std::min<Duration>(BalancerTime, this->stopWindow.lastAnswer() - clockNow()));
    this->callerServer.drain();
    co_await this->awaitDrain(this->stopWindow.lastAnswer());
    for (auto *exchange : *this->exchanges)
        exchange->endForStop(clockNow());
    this->callerServer.refuseUnread();
    this->roomChanged.raise();
    this->snapshotArrived.raise();
    co_await this->awaitDrain(this->stopWindow.end());
    logDecision(LogWeight::Notable, clockNow(),
                fmt::format("event=stop_end in_flight={}", this->callerServer.inFlight()));
    this->desk.stop();
    this->datagrams.close();
}

bool Gateway::isReady() const
{
    return this->config != nullptr && this->upstreamsKnown && !this->stopWindow.isStopping();
}

void Gateway::noteStoreAnswered()
{
    const Instant now = clockNow();
    this->directory.storeAnswered(now);
    if (!std::exchange(this->storeReachable, true))
        logDecision(LogWeight::Notable, now, "event=store_regained");
}

void Gateway::noteStoreFailed(Instant calledAt, const std::string &reason)
{
    const Instant now = clockNow();
    const bool isNews = this->directory.storeFailed(calledAt);
    if (isNews)
        this->configSuspectUntil = now + ConfigSuspectTime;
    if (isNews && !std::exchange(this->storeReachable, false))
        return;
    logDecision(LogWeight::Notable, now,
                fmt::format("event={} call_ms={} reason=\"{}\"",
                            isNews ? "store_lost" : "store_call_outdated", toMs(now - calledAt),
                            reason));
}

void Gateway::takeConfig(const ConfigReading &reading)
{
    // The store's answers are in order; an older version could only come from a rewritten object.
    if (!reading.config || (this->config && reading.config->version < this->config->version))
        return;
    this->config = reading.config;
    this->callerServer.setLimits(toServerLimits(this->config->limits));
    logDecision(LogWeight::Notable, clockNow(),
                fmt::format("event=config_in_force version={} revision={} routes={}",
                            this->config->version, reading.revision, this->config->routes.size()));
}

asio::awaitable<void> Gateway::followConfig()
{
    uint64_t revision = 0;
    Duration retry = FirstRetry;
    while (!this->stopWindow.isStopping()) {
        // Not one conditional expression: g++ 12 destroys its awaited temporaries twice.
        const Instant calledAt = clockNow();
        Result<ConfigReading> reading;
        if (revision == 0)
            reading = co_await this->store.readConfig();
        else
            reading = co_await this->store.awaitConfig(revision, ConfigWatchTime);
        if (isOk(reading)) {
            this->noteStoreAnswered();
            this->takeConfig(value(reading));
            revision = value(reading).revision;
            retry = FirstRetry;
            if (value(reading).config)
                co_await pauseFor(ConfigPause);
            continue;
        }
        const Error problem = error(reading);
        if (problem.kind == ErrorKind::Stale) {
            revision = 0;
            continue;
        }
        if (problem.kind != ErrorKind::NotFound)
            this->noteStoreFailed(calledAt, problem.message);
        co_await pauseFor(retry);
        retry = std::min(retry * 2, LongestRetry);
    }
}

asio::awaitable<void> Gateway::refreshConfig()
{
    if (clockNow() >= this->configSuspectUntil)
        co_return;
    const Instant calledAt = clockNow();
    const auto reading = co_await this->store.readConfig();
    if (isOk(reading))
        this->takeConfig(value(reading));
    else if (error(reading).kind != ErrorKind::NotFound)
        this->noteStoreFailed(calledAt, error(reading).message);
}

asio::awaitable<Result<UpstreamDirectory::Notices>> Gateway::readUpstreams()
{
    if (this->relay.revision() == 0) {
        auto reading = co_await this->store.readUpstreams();
        if (!isOk(reading))
            co_return error(reading);
        const Instant now = clockNow();
        this->noteStoreAnswered();
        this->relay.noteWholeRead(value(reading).revision, now);
        this->upstreamsKnown = true;
        co_return this->directory.replaceAll(value(reading).entries, now);
    }
    // A store that was away is asked for what it has, which shows its return soonest; so is one
    // that has told a peer more already.
    const bool mayWait = this->storeReachable && this->relay.isReader();
    const Duration wait = mayWait ? UpstreamWatchTime : Duration::zero();
    const uint64_t heardBefore = this->relay.heardRevision();
    auto reading = co_await this->store.awaitUpstreams(this->relay.revision(), wait);
    if (!isOk(reading))
        co_return error(reading);
    const Instant now = clockNow();
    this->noteStoreAnswered();
    // A reader can have told only what the store had by then. The word was wrong, or the store has
    // lost its last changes.
    if (value(reading).revision < heardBefore)
        co_return Error{ErrorKind::Stale, "the store is behind what was heard before the call"};
    UpstreamDirectory::Notices notices;
    if (this->relay.isOutdated(value(reading).revision))
        co_return notices;
    for (const auto &change : value(reading).changes) {
        const auto more = this->directory.apply(change, now);
        notices.insert(notices.end(), more.begin(), more.end());
    }
    for (auto &word : this->relay.noteRead(value(reading).revision, value(reading).changes, now))
        this->sendListWord(std::move(word));
    co_return notices;
}

asio::awaitable<void> Gateway::followUpstreams()
{
    Duration retry = FirstRetry;
    // Requests are still sent during a stop.
    while (!this->stopWindow.isOver(clockNow())) {
        if (!this->relay.mustRead(clockNow())) {
            co_await this->listWordArrived.wait(ListRelay::WordPeriod);
            continue;
        }
        const Instant calledAt = clockNow();
        const auto notices = co_await this->readUpstreams();
        if (isOk(notices)) {
            this->takeNotices(value(notices));
            retry = FirstRetry;
            co_await this->refreshConfig();
            const bool onlyHoldings =
                std::all_of(value(notices).begin(), value(notices).end(), [](const auto &notice) {
                    return notice.event == UpstreamEvent::Updated;
                });
            if (!value(notices).empty() && this->relay.isReader())
                co_await pauseFor(onlyHoldings ? HoldingsPause : UpstreamPause);
            continue;
        }
        const Error problem = error(notices);
        if (problem.kind == ErrorKind::Stale) {
            logDecision(LogWeight::Notable, clockNow(),
                        fmt::format("event=list_forgotten revision={} reason=\"{}\"",
                                    this->relay.heardRevision(), problem.message));
            this->relay.forgetRevision();
            continue;
        }
        this->noteStoreFailed(calledAt, problem.message);
        if (auto word = this->relay.noteFailed(clockNow()))
            this->sendListWord(std::move(*word));
        co_await pauseFor(retry);
        retry = std::min(retry * 2, LongestRetry);
    }
}

asio::awaitable<void> Gateway::relayLoop()
{
    bool wasReader = false;
    while (!this->stopWindow.isStopping()) {
        const Instant now = clockNow();
        if (wasReader != this->relay.isReader()) {
            wasReader = this->relay.isReader();
            logDecision(LogWeight::Notable, now,
                        fmt::format("event=list_reader reads={} revision={}", wasReader,
                                    this->relay.revision()));
        }
        if (auto word = this->relay.wordDue(now))
            this->sendListWord(std::move(*word));
        // The watch of the configuration may hang without an error.
        const bool isBehind = this->config && this->peersConfigVersion > this->config->version &&
                              now >= this->peersConfigAt + PeersConfigPatience;
        if (isBehind) {
            const auto reading = co_await this->store.readConfig();
            if (isOk(reading))
                this->takeConfig(value(reading));
            else
                this->noteStoreFailed(now, error(reading).message);
            this->peersConfigAt = clockNow();
        }
        co_await pauseFor(ListRelay::WordPeriod);
    }
}

void Gateway::sendListWord(proto::ListWord word)
{
    word.set_config_version(this->config ? this->config->version : 0);
    word.set_disturbed(this->directory.isDisturbed(clockNow()));
    proto::Datagram datagram;
    *datagram.mutable_list_word() = std::move(word);
    this->desk.tellNeighbours(datagram);
}

void Gateway::takeListWord(const proto::ListWord &word)
{
    const Instant now = clockNow();
    if (word.config_version() > this->peersConfigVersion) {
        this->peersConfigVersion = word.config_version();
        this->peersConfigAt = now;
    }
    const auto changes = this->relay.take(word, now);
    // What vanished while the reader's store was away may be listed again.
    if (word.disturbed() && !changes.empty()) {
        this->directory.storeFailed(now);
        this->directory.storeAnswered(now);
    }
    UpstreamDirectory::Notices notices;
    for (const auto &change : changes) {
        const auto more = this->directory.apply(change, now);
        notices.insert(notices.end(), more.begin(), more.end());
    }
    this->takeNotices(notices);
    this->listWordArrived.raise();
}

void Gateway::takeNotices(const UpstreamDirectory::Notices &notices)
{
    if (notices.empty())
        return;
    for (const auto &notice : notices) {
        if (notice.event != UpstreamEvent::Updated)
            logDecision(
                LogWeight::Notable, clockNow(),
                fmt::format("event=upstream_{} upstream={}", enumName(notice.event), notice.id));
    }
    this->dispatcher.setUpstreams(this->directory.entries());
    // A steward may order its engine only once it knows the engine's identity, so a new one is told
    // at once.
    for (const auto &notice : notices) {
        const auto entry = this->directory.entries().find(notice.id);
        if (notice.event == UpstreamEvent::Added)
            this->desk.noteListGrowth(clockNow());
        if ((notice.event == UpstreamEvent::Added || notice.event == UpstreamEvent::Reborn) &&
            entry != this->directory.entries().end())
            this->subscribe(entry->second);
    }
}

void Gateway::subscribe(const UpstreamEntry &entry)
{
    const auto *service = this->config ? this->config->findService(entry.service) : nullptr;
    if (service == nullptr || !service->engine)
        return;
    const bool plans = this->desk.isPlanner();
    if (!plans && !this->dispatcher.wantsSnapshots(entry.id, clockNow()))
        return;
    const bool far = regionOf(this->settings, entry.dataCentre) != this->settings.region;
    proto::Datagram datagram;
    auto *subscribe = datagram.mutable_subscribe();
    subscribe->set_upstream_id(entry.id);
    subscribe->set_born_ms(entry.bornMs);
    subscribe->set_period_ms(static_cast<uint32_t>(toMs(far ? FarSnapshotPeriod : SnapshotPeriod)));
    subscribe->set_with_copies(plans);
    this->datagrams.send(this->stewardOf(entry), std::move(datagram));
}

void Gateway::subscribeAll()
{
    for (const auto &[id, entry] : this->directory.entries())
        this->subscribe(entry);
}

void Gateway::noteUse(const std::string &upstreamId)
{
    const bool wasWanted = this->dispatcher.wantsSnapshots(upstreamId, clockNow());
    this->dispatcher.noteWanted(upstreamId, clockNow());
    const auto entry = this->directory.entries().find(upstreamId);
    if (!wasWanted && entry != this->directory.entries().end())
        this->subscribe(entry->second);
}

asio::awaitable<void> Gateway::subscribeLoop()
{
    while (!this->stopWindow.isOver(clockNow())) {
        this->takeNotices(this->directory.expire(clockNow()));
        this->subscribeAll();
        co_await pauseFor(SubscribePeriod);
    }
}

void Gateway::receive(const proto::Datagram &datagram, const Address &)
{
    if (datagram.has_snapshot()) {
        if (this->dispatcher.noteSnapshot(datagram.snapshot(), clockNow()))
            this->desk.planSoon();
        this->snapshotArrived.raise();
    } else if (datagram.has_list_word()) {
        this->takeListWord(datagram.list_word());
    } else if (datagram.has_demand()) {
        this->desk.noteDemand(datagram.sender(), datagram.demand(), clockNow());
    }
}

Address Gateway::stewardOf(const UpstreamEntry &entry) const
{
    return {entry.address.host, this->settings.stewardPort};
}

size_t Gateway::gatewayCount() const
{
    return std::max(this->desk.gatewayCount(clockNow()), UnknownGateways);
}

RetryAllowance &Gateway::allowanceOf(const std::string &service)
{
    return this->allowances.try_emplace(service, this->settings.retries).first->second;
}

} // namespace tray
