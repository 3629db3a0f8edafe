// Obtains the fencing token, reads the engine's reports, sends orders and publishes snapshots.
#include "steward/Steward.h"

#include "base/BootClock.h"
#include "base/Hash.h"
#include "net/KeepRunning.h"
#include "net/Pause.h"
#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <iterator>
#include <sstream>
#include <utility>

namespace tray {

namespace asio = boost::asio;

namespace {

// Collection of the stewards' records in the store; one record for each instance.
constexpr auto StewardRecords = "stewards";
// Time between two reads of the engine's report, which cost nothing on the engine's own instance.
constexpr Duration ReportPeriod = milliseconds(120);
// Longest time between two snapshots to a subscriber that requests no period.
constexpr Duration DefaultSnapshotPeriod = milliseconds(250);
constexpr Duration SubscriptionLifetime = std::chrono::seconds(4);
// Delay after an order that was refused or not answered.
constexpr Duration OrderRetryDelay = milliseconds(30);
// Time for which the engine's models must differ from the record before they are recorded: moves
// come in series.
constexpr Duration RecordDelay = std::chrono::seconds(2);
// Time between two checks of the clock, and the time between them from which on the process was
// paused. The latter is less than the time without a heartbeat after which a planner is replaced.
constexpr Duration PauseCheckPeriod = milliseconds(200);
constexpr Duration MinDetectedPause = milliseconds(1500);
// Time in which the datagrams that arrived during a pause are read. Requests among them are
// ignored; planners and gateways repeat theirs.
constexpr Duration BacklogDrainTime = milliseconds(100);
// Time at the end of the stop's grace period that is reserved for the exit of the process.
constexpr Duration ExitMargin = milliseconds(400);
// Least time between two reads of the configuration that gateways cause.
constexpr Duration MinConfigReadInterval = std::chrono::seconds(1);
constexpr Duration InitialRetryBackoff = milliseconds(200);
constexpr Duration MaxRetryBackoff = std::chrono::seconds(1);

/// Returns the text of a steward's record: a nonce, so that each write is a change, and the models.
std::string recordText(const std::vector<std::string> &models)
{
    std::string text = toHex(newNonce());
    for (const auto &model : models)
        text += " " + model;
    return text;
}

std::vector<std::string> modelsInRecord(const std::string &text)
{
    std::istringstream input(text);
    std::string nonce;
    input >> nonce;
    return {std::istream_iterator<std::string>(input), {}};
}

/// Whether both lists have the same models and the same first one. The order of the others is not
/// worth a write.
bool isEquivalentRecord(std::vector<std::string> left, std::vector<std::string> right)
{
    if (!left.empty() && !right.empty() && left.front() != right.front())
        return false;
    std::sort(left.begin(), left.end());
    std::sort(right.begin(), right.end());
    return left == right;
}

/// Returns where the engine loads a model's weights from.
std::string_view sourceOf(const EngineOrder &order, const EngineReport &report)
{
    const auto contains = [&](const std::vector<std::string> &names) {
        return std::find(names.begin(), names.end(), order.model) != names.end();
    };
    if (order.verb != OrderVerb::Load || !order.adapter.empty())
        return "-";
    if (contains(report.modelsInMemory))
        return "memory";
    return contains(report.modelsOnDisk) ? "disk" : "store";
}

} // namespace

Steward::Steward(asio::io_context &context, StewardSettings settings, FleetStore &store,
                 OrderPort &engine, Metrics &metrics)
    : context(context), settings(std::move(settings)), store(store), engine(engine),
      metrics(metrics), incarnation(newNonce()),
      datagrams(context, this->settings.instance,
                [this](const proto::Datagram &datagram, const Address &sender) {
                    this->receive(datagram, sender);
                }),
      admissions(context, this->datagrams, metrics)
{}

Result<Unit> Steward::start()
{
    this->metrics.gauge("tray_steward_engine_running",
                        [this] { return this->report ? this->report->running : 0.0; });
    this->metrics.gauge("tray_steward_engine_waiting",
                        [this] { return this->report ? this->report->waiting : 0.0; });
    this->metrics.gauge("tray_steward_log_lines_over_budget",
                        [] { return static_cast<double>(missingLogLines().overBudget); });
    this->metrics.gauge("tray_steward_log_lines_not_taken",
                        [] { return static_cast<double>(missingLogLines().notTaken); });
    this->metrics.gauge("tray_steward_can_order", [this] { return this->canOrder() ? 1.0 : 0.0; });
    this->metrics.gauge("tray_steward_stream_origins",
                        [this] { return static_cast<double>(this->streamOrigins.size()); });
    this->metrics.gauge("tray_steward_subscribers",
                        [this] { return static_cast<double>(this->subscribers.size()); });
    if (const auto bound = this->datagrams.listen(this->settings.datagramAddress); !isOk(bound))
        return error(bound);
    keepRunning(this->context, "obtain_authority", [this] { return this->obtainAuthority(); });
    keepRunning(this->context, "pause_watch", [this] { return this->watchForPauses(); });
    keepRunning(this->context, "report_loop", [this] { return this->reportLoop(); });
    this->admissions.start();
    return Unit{};
}

asio::awaitable<void> Steward::stop()
{
    this->stopping = true;
    const Instant end = clockNow() + this->settings.stopGrace - ExitMargin;
    logDecision(LogPriority::Notable, clockNow(), "event=stop_begin");
    // The outcome of an order in flight is recorded; no other order follows.
    while (this->orderLoopRunning && clockNow() < end)
        co_await pauseFor(milliseconds(10));
    this->admissions.stop();
    this->datagrams.close();
    logDecision(LogPriority::Notable, clockNow(),
                fmt::format("event=stop_end order_open={}", this->orderLoopRunning));
}

bool Steward::canOrder() const
{
    return this->fencingToken != 0 && this->config && !this->upstreamId.empty();
}

asio::awaitable<void> Steward::obtainAuthority()
{
    Duration retry = InitialRetryBackoff;
    while (!this->stopping && (this->fencingToken == 0 || !this->config)) {
        if (!this->config)
            co_await this->readConfiguration();
        if (this->fencingToken == 0) {
            const auto token = co_await this->raiseFencingToken();
            if (isOk(token)) {
                this->fencingToken = value(token);
                logDecision(LogPriority::Notable, clockNow(),
                            fmt::format("event=fencing_token token={}", this->fencingToken));
                this->restorePreviousModels(clockNow());
            } else {
                logDecision(LogPriority::Notable, clockNow(),
                            fmt::format("event=store_failed call=fencing_token reason={:?}",
                                        error(token).message));
            }
        }
        if (this->fencingToken != 0 && this->config)
            break;
        co_await pauseFor(retry);
        retry = std::min(retry * 2, MaxRetryBackoff);
    }
    this->startOrderLoop();
}

asio::awaitable<void> Steward::readConfiguration()
{
    const auto reading = co_await this->store.readConfig();
    if (!isOk(reading)) {
        logDecision(
            LogPriority::Notable, clockNow(),
            fmt::format("event=store_failed call=read_config reason={:?}", error(reading).message));
        co_return;
    }
    // A store that was restored from a copy has an older one.
    if (this->config && value(reading).config->version < this->config->version)
        co_return;
    this->config = value(reading).config;
    const auto *spec = this->engineSpec();
    this->engineDigest = spec ? spec->digest() : 0;
    logDecision(LogPriority::Notable, clockNow(),
                fmt::format("event=config_in_force version={} models={}", this->config->version,
                            spec ? spec->models.size() : 0));
    this->admissions.noteConfig(
        this->config->version,
        spec ? EngineCapacity{spec->slots, spec->kvCapacityTokens} : EngineCapacity{}, clockNow());
}

void Steward::noteGatewayConfig(uint64_t version, uint64_t digest, Instant now)
{
    const bool isOutdated = this->config && version > this->config->version && digest != 0 &&
                            digest != this->engineDigest;
    if (!isOutdated || this->configReadRunning || this->stopping ||
        now < this->configReadAt + MinConfigReadInterval)
        return;
    this->configReadRunning = true;
    this->configReadAt = now;
    keepRunning(this->context, "refresh_config", [this] { return this->refreshConfiguration(); });
}

asio::awaitable<void> Steward::refreshConfiguration()
{
    co_await this->readConfiguration();
    this->configReadRunning = false;
    this->startOrderLoop();
}

asio::awaitable<Result<uint64_t>> Steward::raiseFencingToken()
{
    Record record{this->settings.instance, recordText(this->recordedModels), 0};
    auto written = co_await this->store.writeRecord(StewardRecords, record);
    if (!isOk(written) && error(written).kind == ErrorKind::VersionConflict) {
        const auto present =
            co_await this->store.readRecord(StewardRecords, this->settings.instance);
        if (!isOk(present))
            co_return error(present);
        // With its first token this process reads the models that the previous one recorded.
        if (!this->previousModels && this->recordedModels.empty()) {
            this->previousModels = modelsInRecord(value(present).text);
            this->recordedModels = *this->previousModels;
        }
        record.text = recordText(this->recordedModels);
        record.revision = value(present).revision;
        written = co_await this->store.writeRecord(StewardRecords, record);
    }
    if (isOk(written)) {
        this->recordRevision = value(written);
        this->recordEra = eraOf(value(written));
    }
    co_return written;
}

asio::awaitable<void> Steward::recordModels()
{
    const auto models = this->planner.heldByRequestOrder(*this->report);
    const auto written = co_await this->writeRecordText(recordText(models));
    // After a failure it is unknown whether the record was written.
    this->recordRevision = isOk(written) ? value(written) : 0;
    if (isOk(written)) {
        this->recordedModels = models;
        this->recordEra = eraOf(value(written));
    } else {
        logDecision(LogPriority::Notable, clockNow(),
                    fmt::format("event=store_failed call=record_models reason={:?}",
                                error(written).message));
    }
    this->modelsDifferSince.reset();
    this->recordWriteRunning = false;
}

asio::awaitable<Result<uint64_t>> Steward::writeRecordText(std::string text)
{
    if (this->recordRevision == 0) {
        const auto present =
            co_await this->store.readRecord(StewardRecords, this->settings.instance);
        // The store may have lost the record; a write without a revision creates it.
        if (!isOk(present) && error(present).kind != ErrorKind::NotFound)
            co_return error(present);
        this->recordRevision = isOk(present) ? value(present).revision : 0;
    }
    const Record record{this->settings.instance, std::move(text), this->recordRevision};
    auto written = co_await this->store.writeRecord(StewardRecords, record);
    co_return written;
}

void Steward::recordIfChanged(Instant now)
{
    const bool isLost = this->reportedEra > this->recordEra;
    const bool differs =
        !this->report->busy && !this->report->leaving &&
        (isLost || !isEquivalentRecord(this->planner.heldByRequestOrder(*this->report),
                                       this->recordedModels));
    if (!differs || this->fencingToken == 0 || this->stopping) {
        this->modelsDifferSince.reset();
        return;
    }
    if (!this->modelsDifferSince)
        this->modelsDifferSince = now;
    if (this->recordWriteRunning || now < *this->modelsDifferSince + RecordDelay)
        return;
    this->recordWriteRunning = true;
    keepRunning(this->context, "record_models", [this] { return this->recordModels(); });
}

void Steward::restorePreviousModels(Instant now)
{
    if (!this->report || !this->previousModels || this->previousModels->empty())
        return;
    // Otherwise the engine has kept running since the previous process, or has orders already.
    if (this->report->models.empty() && this->report->sequence == 0) {
        logDecision(LogPriority::Notable, now,
                    fmt::format("event=restore models={}", fmt::join(*this->previousModels, ",")));
        this->planner.restoreModels(*this->previousModels, now);
    }
    this->previousModels->clear();
}

asio::awaitable<void> Steward::reportLoop()
{
    while (!this->stopping) {
        const Instant now = clockNow();
        std::erase_if(this->subscribers,
                      [&](const auto &item) { return item.second.expiresAt <= now; });
        if (!this->orderLoopRunning && !this->subscribers.empty()) {
            co_await this->readReport();
            this->sendSnapshots(clockNow());
            this->startOrderLoop();
        }
        co_await pauseFor(ReportPeriod);
    }
}

asio::awaitable<void> Steward::readReport()
{
    std::map<std::string, uint64_t> stamps;
    for (const auto &[name, subscriber] : this->subscribers)
        stamps[name] = subscriber.stamp;
    auto reading = co_await this->engine.report();
    if (!isOk(reading)) {
        this->noteEngineUnresponsive(error(reading).message);
        co_return;
    }
    this->applyReport(value(std::move(reading)));
    for (const auto &[name, stamp] : stamps) {
        const auto subscriber = this->subscribers.find(name);
        if (subscriber != this->subscribers.end())
            subscriber->second.reportStamp = stamp;
    }
}

void Steward::noteEngineUnresponsive(const std::string &reason)
{
    if (!this->engineUnresponsive)
        logDecision(LogPriority::Notable, clockNow(),
                    fmt::format("event=engine_lost reason={:?}", reason));
    this->engineUnresponsive = true;
}

void Steward::applyReport(EngineReport newReport)
{
    if (std::exchange(this->engineUnresponsive, false))
        logDecision(LogPriority::Notable, clockNow(), "event=engine_regained");
    if (this->report && newReport.startedAtMs != this->report->startedAtMs) {
        logDecision(LogPriority::Notable, clockNow(),
                    fmt::format("event=engine_restarted born_ms={}", newReport.startedAtMs));
        if (!this->report->models.empty())
            this->previousModels = this->planner.heldByRequestOrder(*this->report);
        this->planner.noteEngineRestart();
        this->admissions.noteEngineRestart();
    }
    this->report = std::move(newReport);
    this->admissions.noteReport(*this->report, clockNow());
    this->restorePreviousModels(clockNow());
    this->recordIfChanged(clockNow());
}

asio::awaitable<void> Steward::watchForPauses()
{
    while (!this->stopping) {
        this->detectPause(bootNow());
        co_await pauseFor(PauseCheckPeriod);
    }
}

void Steward::detectPause(Instant bootTime)
{
    const Instant previouslyRanAt = std::exchange(this->lastRanAt, bootTime).value_or(bootTime);
    if (bootTime < previouslyRanAt + MinDetectedPause)
        return;
    this->planner.dropRequests();
    this->admissions.noteProcessPause(clockNow());
    this->backlogUntil = bootTime + BacklogDrainTime;
    logDecision(LogPriority::Notable, clockNow(),
                fmt::format("event=process_paused ms={}", toMs(bootTime - previouslyRanAt)));
}

void Steward::startOrderLoop()
{
    if (this->orderLoopRunning || this->stopping || this->engineUnresponsive || !this->report ||
        !this->canOrder())
        return;
    this->orderLoopRunning = true;
    keepRunning(this->context, "work", [this] { return this->runOrderLoop(); });
}

asio::awaitable<void> Steward::runOrderLoop()
{
    while (!this->stopping && !this->engineUnresponsive && this->report && this->canOrder()) {
        const auto *service = this->config->findService(this->settings.service);
        if (service == nullptr || !service->engine)
            break;
        this->detectPause(bootNow());
        const auto order = this->planner.nextOrder(*this->report, *service->engine, clockNow());
        if (!order)
            break;
        // The start time that the gateways sent must be that of the engine that reported.
        if (this->listedStartedAtMs != 0 && this->report->startedAtMs != this->listedStartedAtMs)
            break;
        const OrderAuthority authority{this->settings.instance, this->fencingToken,
                                       this->upstreamId};
        const auto reply = co_await this->engine.order(*order, authority);
        logDecision(LogPriority::Notable, clockNow(),
                    fmt::format("event=order verb={} model={} adapter={} source={} sequence={} "
                                "token={} upstream={} reply={}",
                                enumName(order->verb), LogText{order->model},
                                LogText{order->adapter}, sourceOf(*order, *this->report),
                                order->expectedSequence, this->fencingToken,
                                LogText{this->upstreamId}, enumName(reply)));
        this->metrics
            .counter("tray_steward_orders_total", "reply=\"" + std::string(enumName(reply)) + "\"")
            .add();
        if (reply == OrderReply::Fenced) {
            this->fencingToken = 0;
            keepRunning(this->context, "obtain_authority",
                        [this] { return this->obtainAuthority(); });
        }
        if (reply != OrderReply::Accepted && reply != OrderReply::AlreadyHolds)
            co_await pauseFor(OrderRetryDelay);
        auto reading = co_await this->engine.report();
        if (!isOk(reading)) {
            this->noteEngineUnresponsive(error(reading).message);
            break;
        }
        this->applyReport(value(std::move(reading)));
        this->planner.noteReply(*order, reply, *this->report, clockNow());
        this->sendSnapshots(clockNow());
    }
    this->orderLoopRunning = false;
}

void Steward::receive(const proto::Datagram &datagram, const Address &sender)
{
    const Instant now = clockNow();
    const Instant bootTime = bootNow();
    this->detectPause(bootTime);
    const bool isRequest = datagram.has_adapter_wish() || datagram.has_placement_wish() ||
                           datagram.has_admission_ask();
    if (isRequest && bootTime < this->backlogUntil)
        return;
    if (datagram.has_subscribe()) {
        const auto &subscribe = datagram.subscribe();
        this->upstreamId = subscribe.upstream_id();
        this->listedStartedAtMs = subscribe.born_ms();
        this->reportedEra = std::max(this->reportedEra, subscribe.store_era());
        this->noteGatewayConfig(subscribe.config_version(), subscribe.engine_digest(), now);
        auto &subscriber = this->subscribers[datagram.sender()];
        subscriber.address = sender;
        subscriber.expiresAt = now + SubscriptionLifetime;
        subscriber.period = subscribe.period_ms() == 0 ? DefaultSnapshotPeriod
                                                       : milliseconds(subscribe.period_ms());
        // A new planner cannot plan without the list of copies, so its snapshot is sent
        // immediately.
        if (subscribe.with_copies() && !subscriber.withCopies)
            subscriber.sentAt = {};
        subscriber.withCopies = subscribe.with_copies();
        subscriber.stamp = subscribe.stamp();
        this->admissions.noteSender(datagram.sender(), now);
    } else if (datagram.has_adapter_wish()) {
        const auto &request = datagram.adapter_wish();
        if (request.upstream_id() != this->upstreamId)
            return;
        this->planner.requestAdapter(request.model(), request.adapter(), now);
        this->startOrderLoop();
    } else if (datagram.has_placement_wish()) {
        const auto &request = datagram.placement_wish();
        if (request.upstream_id() != this->upstreamId)
            return;
        if (this->planner.requestModels(request.term(),
                                        {request.models().begin(), request.models().end()}, now))
            this->startOrderLoop();
    } else if (datagram.has_stream_origins()) {
        this->streamOrigins.merge(datagram.sender(), datagram.stream_origins(), now);
    } else if (datagram.has_stream_origin_query()) {
        proto::Datagram answer;
        *answer.mutable_stream_origins() =
            this->streamOrigins.answer(datagram.stream_origin_query(), now);
        this->datagrams.send(sender, std::move(answer));
    } else if (datagram.has_admission_ask()) {
        // Without a reply the gateway sends the request to the engine that it means.
        if (this->isForEngine(datagram.admission_ask()))
            this->admissions.handleAsk(datagram.admission_ask(), datagram.sender(), sender, now);
    } else if (datagram.has_admission_note()) {
        this->admissions.handleNote(datagram.admission_note(), datagram.sender(), now);
    }
}

bool Steward::isForEngine(const proto::AdmissionAsk &ask) const
{
    return this->report && ask.upstream_id() == this->upstreamId && !this->upstreamId.empty() &&
           ask.born_ms() == this->report->startedAtMs;
}

const EngineSpec *Steward::engineSpec() const
{
    const auto *service =
        this->config ? this->config->findService(this->settings.service) : nullptr;
    return service == nullptr ? nullptr : service->engine.get();
}

uint32_t Steward::remainingLoadMs(Instant now) const
{
    const auto *spec = this->engineSpec();
    if (spec == nullptr)
        return 0;
    return static_cast<uint32_t>(toMs(this->planner.remainingLoadTime(*this->report, *spec, now)));
}

void Steward::sendSnapshots(Instant now)
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
    snapshot.set_loading(this->planner.loadingModel(*this->report));
    snapshot.set_unloading(this->planner.unloadingModel(*this->report));
    snapshot.set_planner_term(this->planner.term());
    snapshot.set_leaving(this->report->leaving);
    snapshot.set_can_order(this->canOrder());
    snapshot.set_busy(this->report->busy);
    snapshot.set_silent(this->engineUnresponsive);
    snapshot.set_steward_incarnation(this->incarnation);
    const std::string state = snapshot.SerializeAsString();
    const bool changed = state != this->lastSentState;
    this->lastSentState = state;
    snapshot.set_loading_left_ms(this->remainingLoadMs(now));
    snapshot.set_running(this->report->running);
    snapshot.set_waiting(this->report->waiting);
    snapshot.set_kv_used_tokens(this->report->kvUsedTokens);
    snapshot.set_kv_total_tokens(this->report->kvTotalTokens);
    snapshot.set_pace_percent(this->report->pacePercent);
    this->admissions.describe(snapshot, now);
    proto::EngineSnapshot withCopies = snapshot;
    withCopies.set_with_copies(true);
    for (const auto &model : this->report->modelsInMemory)
        withCopies.add_models_in_memory(model);
    for (const auto &model : this->report->modelsOnDisk)
        withCopies.add_models_on_disk(model);
    for (auto &[name, subscriber] : this->subscribers) {
        if (!changed && now < subscriber.sentAt + subscriber.period)
            continue;
        subscriber.sentAt = now;
        proto::Datagram datagram;
        *datagram.mutable_snapshot() = subscriber.withCopies ? withCopies : snapshot;
        datagram.mutable_snapshot()->set_subscribe_stamp(subscriber.reportStamp);
        this->datagrams.send(subscriber.address, std::move(datagram));
    }
}

} // namespace tray
