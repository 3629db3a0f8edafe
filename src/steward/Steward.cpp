// Loops of a steward.
#include "steward/Steward.h"

#include "base/BootClock.h"
#include "base/Hash.h"
#include "net/KeepRunning.h"
#include "net/Pause.h"
#include "observe/DecisionLog.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <iterator>
#include <sstream>
#include <utility>

namespace tray {

namespace asio = boost::asio;

namespace {

// Records of stewards in the store, one for each instance.
constexpr auto StewardRecords = "stewards";
// Time between reports of the engine, which cost nothing on its own instance.
constexpr Duration ReportPeriod = milliseconds(120);
// Longest time between two snapshots to a subscriber that names none.
constexpr Duration AnnouncePeriod = milliseconds(250);
constexpr Duration SubscriptionLifetime = std::chrono::seconds(4);
// Pause after an order that was refused or not answered.
constexpr Duration OrderPause = milliseconds(30);
// An engine holds other models for this long before they are recorded: moves come in series.
constexpr Duration RecordPause = std::chrono::seconds(2);
// Time between two looks at the clock, and the one that only a pause of the process explains; less
// than the silence after which a planner is replaced.
constexpr Duration WatchPeriod = milliseconds(200);
constexpr Duration ShortestPause = milliseconds(1500);
// Time in which what came during a pause is read; planners and gateways repeat their wishes.
constexpr Duration BacklogTime = milliseconds(100);
// Part of a stop's time that is left for the end of the process.
constexpr Duration ExitMargin = milliseconds(400);
constexpr Duration FirstRetry = milliseconds(200);
constexpr Duration LongestRetry = std::chrono::seconds(1);

/// Text of a steward's record: a nonce, which makes each write a change, and the models.
std::string recordText(const std::vector<std::string> &models)
{
    std::string text = toHex(newNonce());
    for (const auto &model : models)
        text += " " + model;
    return text;
}

std::vector<std::string> modelsOfRecord(const std::string &text)
{
    std::istringstream input(text);
    std::string nonce;
    input >> nonce;
    return {std::istream_iterator<std::string>(input), {}};
}

/// The same models with the same one in front. The order of the others is not worth a write.
bool isSameRecord(std::vector<std::string> left, std::vector<std::string> right)
{
    if (!left.empty() && !right.empty() && left.front() != right.front())
        return false;
    std::sort(left.begin(), left.end());
    std::sort(right.begin(), right.end());
    return left == right;
}

/// Where an engine takes a model's weights from.
std::string_view sourceOf(const EngineOrder &order, const EngineReport &report)
{
    const auto lists = [&](const std::vector<std::string> &names) {
        return std::find(names.begin(), names.end(), order.model) != names.end();
    };
    if (order.verb != OrderVerb::Load || !order.adapter.empty())
        return "-";
    if (lists(report.modelsInMemory))
        return "memory";
    return lists(report.modelsOnDisk) ? "disk" : "store";
}

} // namespace

Steward::Steward(asio::io_context &context, StewardSettings settings, FleetStore &store,
                 OrderPort &engine, Metrics &metrics)
    : context(context), settings(std::move(settings)), store(store), engine(engine),
      metrics(metrics), datagrams(context, this->settings.instance,
                                  [this](const proto::Datagram &datagram, const Address &sender) {
                                      this->receive(datagram, sender);
                                  })
{}

Result<Unit> Steward::start()
{
    this->metrics.gauge("tray_steward_engine_running",
                        [this] { return this->report ? this->report->running : 0.0; });
    this->metrics.gauge("tray_steward_engine_waiting",
                        [this] { return this->report ? this->report->waiting : 0.0; });
    this->metrics.gauge("tray_steward_can_order", [this] { return this->canOrder() ? 1.0 : 0.0; });
    this->metrics.gauge("tray_steward_subscribers",
                        [this] { return static_cast<double>(this->subscribers.size()); });
    if (const auto bound = this->datagrams.listen(this->settings.datagrams); !isOk(bound))
        return error(bound);
    keepRunning(this->context, "obtain_authority", [this] { return this->obtainAuthority(); });
    keepRunning(this->context, "pause_watch", [this] { return this->pauseWatch(); });
    keepRunning(this->context, "report_loop", [this] { return this->reportLoop(); });
    return Unit{};
}

asio::awaitable<void> Steward::stop()
{
    this->stopping = true;
    const Instant end = clockNow() + this->settings.stopGrace - ExitMargin;
    logDecision(LogWeight::Notable, clockNow(), "event=stop_begin");
    // The outcome of an order that is under way is noted, no other follows.
    while (this->working && clockNow() < end)
        co_await pauseFor(milliseconds(10));
    this->datagrams.close();
    logDecision(LogWeight::Notable, clockNow(),
                fmt::format("event=stop_end order_open={}", this->working));
}

bool Steward::canOrder() const
{
    return this->fencingToken != 0 && this->config && !this->upstreamId.empty();
}

asio::awaitable<void> Steward::obtainAuthority()
{
    Duration retry = FirstRetry;
    while (!this->stopping && (this->fencingToken == 0 || !this->config)) {
        if (!this->config)
            co_await this->readSpec();
        if (this->fencingToken == 0) {
            const auto token = co_await this->raiseToken();
            if (isOk(token)) {
                this->fencingToken = value(token);
                logDecision(LogWeight::Notable, clockNow(),
                            fmt::format("event=fencing_token token={}", this->fencingToken));
                this->restoreLastLife(clockNow());
            } else {
                logDecision(LogWeight::Notable, clockNow(),
                            fmt::format("event=store_failed call=fencing_token reason=\"{}\"",
                                        error(token).message));
            }
        }
        if (this->fencingToken != 0 && this->config)
            break;
        co_await pauseFor(retry);
        retry = std::min(retry * 2, LongestRetry);
    }
    this->wake();
}

asio::awaitable<void> Steward::readSpec()
{
    const auto reading = co_await this->store.readConfig();
    if (isOk(reading)) {
        this->config = value(reading).config;
        logDecision(LogWeight::Notable, clockNow(),
                    fmt::format("event=config_in_force version={}", this->config->version));
    }
}

asio::awaitable<Result<uint64_t>> Steward::raiseToken()
{
    Record record{this->settings.instance, recordText(this->recorded), 0};
    auto written = co_await this->store.writeRecord(StewardRecords, record);
    if (!isOk(written) && error(written).kind == ErrorKind::VersionConflict) {
        const auto present =
            co_await this->store.readRecord(StewardRecords, this->settings.instance);
        if (!isOk(present))
            co_return error(present);
        // The first process of this instance that holds a token takes over what the last one left.
        if (!this->lastLife && this->recorded.empty()) {
            this->lastLife = modelsOfRecord(value(present).text);
            this->recorded = *this->lastLife;
        }
        record.text = recordText(this->recorded);
        record.revision = value(present).revision;
        written = co_await this->store.writeRecord(StewardRecords, record);
    }
    if (isOk(written))
        this->recordRevision = value(written);
    co_return written;
}

asio::awaitable<void> Steward::recordModels()
{
    const auto models = this->planner.heldByWish(*this->report);
    const auto written = co_await this->writeModels(recordText(models));
    // After a failure the record may have been written or not.
    this->recordRevision = isOk(written) ? value(written) : 0;
    if (isOk(written))
        this->recorded = models;
    else
        logDecision(LogWeight::Notable, clockNow(),
                    fmt::format("event=store_failed call=record_models reason=\"{}\"",
                                error(written).message));
    this->differsSince.reset();
    this->recording = false;
}

asio::awaitable<Result<uint64_t>> Steward::writeModels(std::string text)
{
    if (this->recordRevision == 0) {
        const auto present =
            co_await this->store.readRecord(StewardRecords, this->settings.instance);
        if (!isOk(present))
            co_return error(present);
        this->recordRevision = value(present).revision;
    }
    const Record record{this->settings.instance, std::move(text), this->recordRevision};
    auto written = co_await this->store.writeRecord(StewardRecords, record);
    co_return written;
}

void Steward::recordIfChanged(Instant now)
{
    const bool differs = !this->report->busy && !this->report->leaving &&
                         !isSameRecord(this->planner.heldByWish(*this->report), this->recorded);
    if (!differs || this->fencingToken == 0 || this->stopping) {
        this->differsSince.reset();
        return;
    }
    if (!this->differsSince)
        this->differsSince = now;
    if (this->recording || now < *this->differsSince + RecordPause)
        return;
    this->recording = true;
    keepRunning(this->context, "record_models", [this] { return this->recordModels(); });
}

void Steward::restoreLastLife(Instant now)
{
    if (!this->report || !this->lastLife || this->lastLife->empty())
        return;
    // Otherwise the engine outlived the last process.
    if (this->report->models.empty() && this->report->sequence == 0) {
        logDecision(LogWeight::Notable, now,
                    fmt::format("event=restore models={}", fmt::join(*this->lastLife, ",")));
        this->planner.restoreModels(*this->lastLife, now);
    }
    this->lastLife->clear();
}

asio::awaitable<void> Steward::reportLoop()
{
    while (!this->stopping) {
        const Instant now = clockNow();
        std::erase_if(this->subscribers,
                      [&](const auto &item) { return item.second.until <= now; });
        if (!this->working && !this->subscribers.empty()) {
            auto reading = co_await this->engine.report();
            if (isOk(reading))
                this->takeReport(value(std::move(reading)));
            else
                this->noteSilence(error(reading).message);
            this->announce(clockNow());
            this->wake();
        }
        co_await pauseFor(ReportPeriod);
    }
}

void Steward::noteSilence(const std::string &reason)
{
    if (!this->silent)
        logDecision(LogWeight::Notable, clockNow(),
                    fmt::format("event=engine_lost reason=\"{}\"", reason));
    this->silent = true;
}

void Steward::takeReport(EngineReport next)
{
    if (std::exchange(this->silent, false))
        logDecision(LogWeight::Notable, clockNow(), "event=engine_regained");
    if (this->report && next.startedAtMs != this->report->startedAtMs)
        logDecision(LogWeight::Notable, clockNow(),
                    fmt::format("event=engine_restarted born_ms={}", next.startedAtMs));
    this->report = std::move(next);
    this->restoreLastLife(clockNow());
    this->recordIfChanged(clockNow());
}

asio::awaitable<void> Steward::pauseWatch()
{
    while (!this->stopping) {
        this->lookForPause(bootNow());
        co_await pauseFor(WatchPeriod);
    }
}

void Steward::lookForPause(Instant bootTime)
{
    const Instant lastRan = std::exchange(this->ranAt, bootTime).value_or(bootTime);
    if (bootTime < lastRan + ShortestPause)
        return;
    this->planner.dropWishes();
    this->backlogUntil = bootTime + BacklogTime;
    logDecision(LogWeight::Notable, clockNow(),
                fmt::format("event=process_paused ms={}", toMs(bootTime - lastRan)));
}

void Steward::wake()
{
    if (this->working || this->stopping || this->silent || !this->report || !this->canOrder())
        return;
    this->working = true;
    keepRunning(this->context, "work", [this] { return this->work(); });
}

asio::awaitable<void> Steward::work()
{
    while (!this->stopping && !this->silent && this->report && this->canOrder()) {
        const auto *service = this->config->findService(this->settings.service);
        if (service == nullptr || !service->engine)
            break;
        this->lookForPause(bootNow());
        const auto order = this->planner.next(*this->report, *service->engine, clockNow());
        if (!order)
            break;
        // The identity that the gateways told must be that of the engine that reported.
        if (this->listedStartedAtMs != 0 && this->report->startedAtMs != this->listedStartedAtMs)
            break;
        const OrderAuthority authority{this->settings.instance, this->fencingToken,
                                       this->upstreamId};
        const auto reply = co_await this->engine.order(*order, authority);
        logDecision(LogWeight::Notable, clockNow(),
                    fmt::format("event=order verb={} model={} adapter={} source={} sequence={} "
                                "token={} upstream={} reply={}",
                                enumName(order->verb), order->model, order->adapter,
                                sourceOf(*order, *this->report), order->expectedSequence,
                                this->fencingToken, this->upstreamId, enumName(reply)));
        this->metrics
            .counter("tray_steward_orders_total", "reply=\"" + std::string(enumName(reply)) + "\"")
            .add();
        if (reply == OrderReply::Fenced) {
            this->fencingToken = 0;
            keepRunning(this->context, "obtain_authority",
                        [this] { return this->obtainAuthority(); });
        }
        if (reply != OrderReply::Accepted && reply != OrderReply::AlreadyHolds)
            co_await pauseFor(OrderPause);
        auto reading = co_await this->engine.report();
        if (!isOk(reading)) {
            this->noteSilence(error(reading).message);
            break;
        }
        this->takeReport(value(std::move(reading)));
        this->planner.noteReply(*order, reply, *this->report, clockNow());
        this->announce(clockNow());
    }
    this->working = false;
}

void Steward::receive(const proto::Datagram &datagram, const Address &sender)
{
    const Instant now = clockNow();
    const Instant bootTime = bootNow();
    this->lookForPause(bootTime);
    const bool isWish = datagram.has_adapter_wish() || datagram.has_placement_wish();
    if (isWish && bootTime < this->backlogUntil)
        return;
    if (datagram.has_subscribe()) {
        const auto &subscribe = datagram.subscribe();
        this->upstreamId = subscribe.upstream_id();
        this->listedStartedAtMs = subscribe.born_ms();
        auto &subscriber = this->subscribers[datagram.sender()];
        subscriber.address = sender;
        subscriber.until = now + SubscriptionLifetime;
        subscriber.period =
            subscribe.period_ms() == 0 ? AnnouncePeriod : milliseconds(subscribe.period_ms());
        // A new planner cannot plan without the copies.
        if (subscribe.with_copies() && !subscriber.withCopies)
            subscriber.toldAt = {};
        subscriber.withCopies = subscribe.with_copies();
    } else if (datagram.has_adapter_wish()) {
        const auto &wish = datagram.adapter_wish();
        if (wish.upstream_id() != this->upstreamId)
            return;
        this->planner.wishAdapter(wish.model(), wish.adapter(), now);
        this->wake();
    } else if (datagram.has_placement_wish()) {
        const auto &wish = datagram.placement_wish();
        if (wish.upstream_id() != this->upstreamId)
            return;
        if (this->planner.wishModels(wish.term(), {wish.models().begin(), wish.models().end()},
                                     now))
            this->wake();
    }
}

uint32_t Steward::loadingLeftMs(Instant now) const
{
    const auto *service =
        this->config ? this->config->findService(this->settings.service) : nullptr;
    if (service == nullptr || !service->engine)
        return 0;
    return static_cast<uint32_t>(
        toMs(this->planner.loadingLeft(*this->report, *service->engine, now)));
}

void Steward::announce(Instant now)
{
    if (!this->report || this->upstreamId.empty())
        return;
    proto::EngineSnapshot snapshot;
    snapshot.set_upstream_id(this->upstreamId);
    snapshot.set_born_ms(this->report->startedAtMs);
    snapshot.set_sequence(this->report->sequence);
    for (const auto &model : this->report->models) {
        auto *held = snapshot.add_models();
        held->set_name(model.name);
        for (const auto &adapter : model.adapters)
            held->add_adapters(adapter);
    }
    snapshot.set_loading(this->planner.loading(*this->report));
    snapshot.set_unloading(this->planner.unloading(*this->report));
    snapshot.set_planner_term(this->planner.term());
    snapshot.set_leaving(this->report->leaving);
    snapshot.set_can_order(this->canOrder());
    snapshot.set_busy(this->report->busy);
    snapshot.set_silent(this->silent);
    const std::string state = snapshot.SerializeAsString();
    const bool changed = state != this->announcedState;
    this->announcedState = state;
    snapshot.set_loading_left_ms(this->loadingLeftMs(now));
    snapshot.set_running(this->report->running);
    snapshot.set_waiting(this->report->waiting);
    snapshot.set_kv_used_tokens(this->report->kvUsedTokens);
    snapshot.set_kv_total_tokens(this->report->kvTotalTokens);
    proto::EngineSnapshot withCopies = snapshot;
    withCopies.set_with_copies(true);
    for (const auto &model : this->report->modelsInMemory)
        withCopies.add_models_in_memory(model);
    for (const auto &model : this->report->modelsOnDisk)
        withCopies.add_models_on_disk(model);
    for (auto &[name, subscriber] : this->subscribers) {
        if (!changed && now < subscriber.toldAt + subscriber.period)
            continue;
        subscriber.toldAt = now;
        proto::Datagram datagram;
        *datagram.mutable_snapshot() = subscriber.withCopies ? withCopies : snapshot;
        this->datagrams.send(subscriber.address, std::move(datagram));
    }
}

} // namespace tray
