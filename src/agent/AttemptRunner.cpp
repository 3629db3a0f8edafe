#include "agent/AttemptRunner.h"

#include "agent/UpstreamRequest.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <spdlog/spdlog.h>

namespace tray {

namespace asio = boost::asio;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

} // namespace

AttemptRunner::AttemptRunner(asio::io_context &context, AdmissionLimits limits, UpstreamPorts ports,
                             RunnerHooks hooks, Metrics &metrics)
    : context(context), ports(ports), hooks(std::move(hooks)), metrics(metrics),
      attempts(context.get_executor()), queue(limits)
{}

void AttemptRunner::accept(const Record &record)
{
    this->metrics.counter("agent_attempts_total").add();
    asio::co_spawn(this->context, this->admit(record), asio::detached);
}

asio::awaitable<void> AttemptRunner::admit(Record record)
{
    if (record->headVersion > this->hooks.headVersion()) {
        this->hooks.noteHeadVersion(record->headVersion);
        const Instant limit = std::min(record->deadline, clockNow() + HeadVersionTimeout);
        const bool reached = co_await this->hooks.awaitHeadVersion(record->headVersion, limit);
        if (record->isFinal())
            co_return;
        if (!reached) {
            this->refuse(record, Error{ErrorKind::Stale, "the agent's configuration is behind"});
            co_return;
        }
    }
    if (auto problem = this->checkAttempt(record)) {
        this->refuse(record, std::move(*problem));
        co_return;
    }
    const AdmissionWork work = this->workOf(*record);
    record->kvBytes = work.kvBytes;
    if (auto refusal = this->queue.offer(work, this->resources(), clockNow())) {
        this->refuse(record, std::move(*refusal));
        co_return;
    }
    record->setStage(AttemptStage::Queued);
    this->processQueue();
    if (record->stage() == AttemptStage::Queued && this->ports.controller != nullptr)
        this->ports.controller->wake();
}

std::optional<Error> AttemptRunner::checkAttempt(const Record &record) const
{
    const auto &attempt = record->attempt;
    if (record->cancelRequested)
        return Error{ErrorKind::Cancelled, "the attempt was cancelled before it ran"};
    if (this->draining)
        return Error{ErrorKind::Draining, "the upstream is draining"};
    if (!this->hooks.acceptsWork())
        return Error{ErrorKind::Stale, "the agent's state is too old to take work"};
    const auto requirements = this->hooks.requirements();
    if (this->ports.service != nullptr) {
        if (!requirements->services.contains(attempt.service()))
            return Error{ErrorKind::NoReplica, "the service is not on this upstream"};
        return std::nullopt;
    }
    if (!requirements->models.contains(attempt.model()))
        return Error{ErrorKind::NoReplica, "the model is not in this upstream's pool"};
    if (!attempt.adapter().empty()) {
        const auto adapter = requirements->adapters.find(attempt.adapter());
        if (adapter == requirements->adapters.end() || adapter->second.base != attempt.model())
            return Error{ErrorKind::NoReplica, "the adapter is not in this upstream's pool"};
    }
    if (this->ports.controller->isLost())
        return Error{ErrorKind::UpstreamUnreachable, "the engine does not answer"};
    return std::nullopt;
}

AdmissionWork AttemptRunner::workOf(const AttemptRecord &record) const
{
    const auto &attempt = record.attempt;
    AdmissionWork work;
    work.ticket = record.ticket;
    work.tierRank = attempt.tier_rank();
    work.deadline = record.deadline;
    work.suspect = attempt.suspect();
    if (this->ports.controller == nullptr)
        return work;
    work.model = attempt.model();
    work.adapter = attempt.adapter();
    const auto requirements = this->hooks.requirements();
    const auto &model = requirements->models.at(attempt.model());
    work.promptTokens = promptTokens(attempt);
    work.maxTokens = attempt.max_tokens() > 0 ? attempt.max_tokens() : model.maxContextTokens;
    work.kvBytes =
        (uint64_t{work.promptTokens} + work.maxTokens + KvExtraTokens) * model.kvBytesPerToken;
    return work;
}

uint64_t AttemptRunner::kvCapacityBytes() const
{
    // Memory that the resident items leave free, whether or not other requests use it at present.
    const auto &ledger = this->ports.controller->ledger();
    uint64_t items = 0;
    for (const auto &[key, entry] : ledger.entries())
        items += entry.bytes;
    return ledger.memoryBytes() > items ? ledger.memoryBytes() - items : 0;
}

AdmissionResources AttemptRunner::resources()
{
    AdmissionResources resources;
    auto *controller = this->ports.controller;
    if (controller == nullptr) {
        resources.isReady = [](const AdmissionWork &) { return true; };
        resources.readyAfter = [](const AdmissionWork &) { return Duration::zero(); };
        resources.freeKvBytes = [] { return std::numeric_limits<uint64_t>::max(); };
        resources.kvCapacityBytes = std::numeric_limits<uint64_t>::max();
        resources.reserveKv = [](uint64_t) { return true; };
        return resources;
    }
    resources.isReady = [controller](const AdmissionWork &work) {
        return controller->findReadyItem(ItemKind::Model, work.model) &&
               (work.adapter.empty() || controller->findReadyItem(ItemKind::Adapter, work.adapter));
    };
    resources.readyAfter = [controller](const AdmissionWork &work) {
        auto wait = controller->timeUntilReady(ItemKind::Model, work.model);
        if (!wait || work.adapter.empty())
            return wait;
        const auto adapterWait = controller->timeUntilReady(ItemKind::Adapter, work.adapter);
        return adapterWait ? std::optional<Duration>(*wait + *adapterWait) : std::nullopt;
    };
    resources.freeKvBytes = [controller] { return controller->ledger().free(); };
    resources.kvCapacityBytes = this->kvCapacityBytes();
    resources.reserveKv = [controller](uint64_t bytes) {
        return controller->ledger().reserveKv(bytes);
    };
    return resources;
}

void AttemptRunner::processQueue()
{
    const Instant now = clockNow();
    const auto resources = this->resources();
    for (auto &[ticket, reason] : this->queue.expire(resources, now)) {
        if (const auto record = this->attempts.findByTicket(ticket))
            this->refuse(record, std::move(reason));
    }
    for (const uint64_t ticket : this->queue.start(resources, now)) {
        const auto record = this->attempts.findByTicket(ticket);
        this->dispatch(record);
    }
}

void AttemptRunner::dispatch(const Record &record)
{
    record->setStage(AttemptStage::Running);
    if (auto *controller = this->ports.controller) {
        auto &items = this->itemsByTicket[record->ticket];
        items.push_back(*controller->findReadyItem(ItemKind::Model, record->attempt.model()));
        if (!record->attempt.adapter().empty())
            items.push_back(
                *controller->findReadyItem(ItemKind::Adapter, record->attempt.adapter()));
    }
    const auto done = [this, record](std::exception_ptr failure, Outcome outcome) {
        // A cancelled coroutine ends with an exception.
        if (failure && record->cancelRequested)
            outcome = Outcome{false, false, record->endReason};
        else if (failure)
            outcome = Outcome{false, false, {ErrorKind::UpstreamFailed, "the engine went silent"}};
        asio::co_spawn(this->context, this->finishAttempt(record, std::move(outcome)),
                       asio::detached);
    };
    asio::co_spawn(this->context, this->forward(record),
                   asio::bind_cancellation_slot(record->cancelForwarding.slot(), done));
}

HttpRequest AttemptRunner::upstreamRequest(const AttemptRecord &record) const
{
    const auto found = this->itemsByTicket.find(record.ticket);
    const std::string version =
        found == this->itemsByTicket.end() ? std::string() : found->second.front().version;
    return makeUpstreamRequest(record, version);
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>>
AttemptRunner::openUpstream(HttpRequest request)
{
    if (this->ports.engine != nullptr)
        return this->ports.engine->open(std::move(request), AnswerTimeout);
    return this->ports.service->open(std::move(request), AnswerTimeout);
}

asio::awaitable<AttemptRunner::Outcome> AttemptRunner::forward(Record record)
{
    auto opened = co_await this->openUpstream(this->upstreamRequest(*record));
    Outcome outcome;
    if (!isOk(opened)) {
        outcome.reason = error(opened);
        outcome.notExecuted = outcome.reason.kind == ErrorKind::UpstreamUnreachable;
        if (!outcome.notExecuted)
            outcome.reason.kind = ErrorKind::UpstreamFailed;
        co_return outcome;
    }
    // An engine answers 404 for a model that is not ready, before it executes anything.
    if (this->ports.engine != nullptr && value(opened)->status() == 404) {
        outcome.notExecuted = true;
        outcome.reason = Error{ErrorKind::NoReplica, "the engine does not have the model ready"};
        co_return outcome;
    }
    co_return co_await this->relay(record, value(std::move(opened)));
}

asio::awaitable<AttemptRunner::Outcome> AttemptRunner::relay(Record record,
                                                             std::unique_ptr<HttpStream> stream)
{
    record->setHead(responseHead(stream->status(), stream->headers()));
    Outcome outcome;
    while (true) {
        auto piece = co_await stream->read(AnswerTimeout);
        if (!isOk(piece)) {
            outcome.reason = error(piece);
            co_return outcome;
        }
        if (value(piece).empty())
            break;
        if (this->ports.controller != nullptr)
            this->ports.controller->noteContact(clockNow());
        record->append(value(piece));
        while (record->unsentBytes() > AttemptRecord::MaxUnsentBytes && !record->detachedSince()) {
            asio::steady_timer pause(this->context, milliseconds(2));
            co_await pause.async_wait(Await);
        }
    }
    outcome.complete = true;
    co_return outcome;
}

asio::awaitable<void> AttemptRunner::finishAttempt(Record record, Outcome outcome)
{
    if (outcome.complete) {
        record->end(clockNow());
        this->metrics.counter("agent_answers_total").add();
        this->releaseResources(record);
        co_return;
    }
    if (outcome.notExecuted) {
        this->refuse(record, std::move(outcome.reason));
        this->releaseResources(record);
        co_return;
    }
    const uint64_t restarts =
        this->ports.controller != nullptr ? this->ports.controller->restarts() : 0;
    const bool cancelled = record->cancelRequested;
    const bool lost = !cancelled && co_await this->isUpstreamLost(restarts);
    if (lost)
        this->hooks.reportCrash(record->attempt.content_digest());
    this->metrics.counter("agent_failures_total", lost ? "engine_lost=\"1\"" : "engine_lost=\"0\"")
        .add();
    record->fail(std::move(outcome.reason), lost, clockNow());
    if (!lost && this->ports.engine != nullptr)
        co_await this->cancelAtEngine(record, restarts);
    this->releaseResources(record);
}

asio::awaitable<bool> AttemptRunner::isUpstreamLost(uint64_t restartsBefore)
{
    if (this->ports.service != nullptr)
        co_return !co_await this->ports.service->isReachable(std::chrono::seconds(1));
    const bool answers = co_await this->ports.controller->readReport();
    if (!answers)
        this->ports.controller->markLost();
    co_return !answers || this->ports.controller->restarts() != restartsBefore;
}

asio::awaitable<void> AttemptRunner::cancelAtEngine(Record record, uint64_t restartsBefore)
{
    // The KV cache stays reserved until the engine confirms that it no longer runs the request.
    const std::string id = upstreamRequestId(*record);
    auto *controller = this->ports.controller;
    while (!controller->isLost() && controller->restarts() == restartsBefore) {
        const auto stopped = co_await this->ports.engine->cancel(id, std::chrono::seconds(1));
        if (isOk(stopped))
            co_return;
        asio::steady_timer pause(this->context, milliseconds(100));
        co_await pause.async_wait(Await);
    }
}

void AttemptRunner::releaseResources(const Record &record)
{
    if (this->ports.controller != nullptr)
        this->ports.controller->ledger().releaseKv(record->kvBytes);
    this->itemsByTicket.erase(record->ticket);
    const bool measured = record->stage() == AttemptStage::Ended;
    const uint32_t tokens = measured ? record->attempt.max_tokens() : 0;
    this->queue.finish(record->ticket, clockNow(), tokens);
    this->processQueue();
}

void AttemptRunner::refuse(const Record &record, Error reason)
{
    if (record->isFinal())
        return;
    this->metrics
        .counter("agent_refusals_total", "kind=\"" + std::string(enumName(reason.kind)) + "\"")
        .add();
    record->refuse(std::move(reason), clockNow());
}

void AttemptRunner::cancel(const Record &record)
{
    if (record->isFinal() || record->cancelRequested)
        return;
    record->cancelRequested = true;
    if (this->queue.remove(record->ticket)) {
        this->refuse(record,
                     Error{ErrorKind::Cancelled, "the attempt was cancelled before it ran"});
        this->processQueue();
    } else if (record->stage() == AttemptStage::Running) {
        record->cancelForwarding.emit(asio::cancellation_type::terminal);
    }
}

void AttemptRunner::abortOpenAttempts()
{
    std::vector<Record> open;
    this->attempts.forEach([&](const Record &record) {
        if (!record->isFinal())
            open.push_back(record);
    });
    for (const auto &record : open) {
        const bool runs = record->stage() == AttemptStage::Running;
        spdlog::info("event=unanswered request={} attempt={} running={} deadline_left_ms={}",
                     record->id.requestId, record->id.number, runs,
                     toMs(record->deadline - clockNow()));
        if (!runs) {
            this->queue.remove(record->ticket);
            this->refuse(record, Error{ErrorKind::Draining, "the agent stops"});
        } else if (!record->cancelRequested) {
            record->cancelRequested = true;
            record->endReason = Error{ErrorKind::UpstreamFailed, "the agent stops"};
            record->cancelForwarding.emit(asio::cancellation_type::terminal);
        }
    }
}

void AttemptRunner::sweep()
{
    const Instant now = clockNow();
    std::vector<Record> expired;
    this->attempts.forEach([&](const Record &record) {
        const auto since = record->detachedSince();
        // A non-idempotent request runs to its end once it was dispatched.
        const bool mayStop =
            record->attempt.idempotent() || record->stage() != AttemptStage::Running;
        if (!record->isFinal() && since && now - *since >= DetachedTimeout && mayStop)
            expired.push_back(record);
    });
    for (const auto &record : expired)
        this->cancel(record);
    this->abortAtLostEngine();
    this->attempts.sweep(now);
    this->processQueue();
}

void AttemptRunner::abortAtLostEngine()
{
    // An engine that sends no reports may keep its connections open forever.
    if (this->ports.controller == nullptr || !this->ports.controller->isLost())
        return;
    this->attempts.forEach([](const Record &record) {
        if (record->stage() == AttemptStage::Running)
            record->cancelForwarding.emit(asio::cancellation_type::terminal);
    });
}

void AttemptRunner::setDraining(bool nowDraining)
{
    this->draining = nowDraining;
    if (this->ports.controller != nullptr)
        this->ports.controller->setDraining(nowDraining);
    if (!nowDraining)
        return;
    for (const uint64_t ticket : this->queue.clear()) {
        if (const auto record = this->attempts.findByTicket(ticket))
            this->refuse(record, Error{ErrorKind::Draining, "the upstream is draining"});
    }
}

proto::Load AttemptRunner::load()
{
    proto::Load load;
    this->queue.fillLoad(load);
    if (this->ports.controller != nullptr)
        load.set_kv_free_bytes(this->ports.controller->ledger().free());
    load.set_draining(this->draining);
    load.set_sequence(++this->loadSamples);
    return load;
}

std::vector<ItemDemand> AttemptRunner::demand() const
{
    std::map<std::pair<ItemKind, std::string>, ItemDemand> found;
    const auto add = [&](ItemKind kind, const std::string &name, uint32_t rank) {
        const auto [place, isNew] =
            found.try_emplace({kind, name}, ItemDemand{kind, name, rank, 0});
        place->second.tierRank = std::min(place->second.tierRank, rank);
        ++place->second.waiting;
    };
    this->queue.forEachQueued([&](const AdmissionWork &work) {
        if (!work.model.empty())
            add(ItemKind::Model, work.model, work.tierRank);
        if (!work.adapter.empty())
            add(ItemKind::Adapter, work.adapter, work.tierRank);
    });
    std::vector<ItemDemand> demand;
    for (auto &[key, item] : found)
        demand.push_back(std::move(item));
    return demand;
}

std::map<ItemKey, uint32_t> AttemptRunner::inUse() const
{
    std::map<ItemKey, uint32_t> used;
    for (const auto &[ticket, items] : this->itemsByTicket) {
        for (const auto &key : items)
            ++used[key];
    }
    const auto *controller = this->ports.controller;
    if (controller == nullptr)
        return used;
    this->queue.forEachQueued([&](const AdmissionWork &work) {
        if (const auto key = controller->findReadyItem(ItemKind::Model, work.model))
            ++used[*key];
        if (const auto key = controller->findReadyItem(ItemKind::Adapter, work.adapter))
            ++used[*key];
    });
    return used;
}

} // namespace tray
