// Relays the responses of upstreams, and ends requests with their final response.
#include "gateway/Exchange.h"

#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Maximum body size, in bytes, of a response that is not an event stream.
constexpr size_t MaxBufferedBodyBytes = 8u << 20;
// Retry-After of a refusal for lack of capacity.
constexpr Duration OverloadRetryAfter = milliseconds(500);
// A write to the caller that takes longer than this may have delayed the next read.
constexpr Duration SlowCallerTime = milliseconds(5);

} // namespace

asio::awaitable<Exchange::AttemptResult>
Exchange::handleResponse(std::string upstreamId, uint64_t startedAtMs, HttpStream &stream)
{
    const ResponseProperties answer =
        this->gateway.codec.decodeResponse(stream.status(), stream.headers());
    this->noteDirectives(upstreamId, startedAtMs, answer, stream.status());
    const bool namesRequest = answer.requestId == this->properties.requestId;
    const std::string source =
        fmt::format("{}/{}/{}", stream.status(), namesRequest ? "own_id" : "other_id",
                    describe(stream.connectionUse()));
    if (answer.load && answer.load->hasCounts)
        this->gateway.dispatcher.noteLoad(upstreamId, answer.load->running, answer.load->waiting,
                                          clockNow());
    if (answer.load && answer.load->pacePercent > 0)
        this->gateway.dispatcher.notePace(upstreamId, answer.load->pacePercent, clockNow());
    AttemptResult result;
    if (answer.isNotExecuted && namesRequest && !answer.requestId.empty()) {
        result.evidenceSource = source;
        result.outcome = answer.isMisdirected ? AttemptOutcome::Misdirected : AttemptOutcome::Full;
        result.reason = fmt::format("refused with {}", stream.status());
        if (stream.connectionUse().wasIdSentBefore) {
            // The request may be running. The upstream stops it if its connection closes.
            result.reason += ", perhaps by the copy of an earlier refusal";
            this->gateway.metrics.counter("tray_gateway_refusals_doubted_total").add();
            this->attemptCancel->cancel();
            co_return result;
        }
        result.evidence = NotExecutedEvidence::Refused;
        if (answer.isMisdirected &&
            this->gateway.dispatcher.noteModelMissing(upstreamId, this->properties.model,
                                                      this->properties.adapter, clockNow()))
            logDecision(LogPriority::Notable, clockNow(),
                        fmt::format("event=holdings_refuted id={} upstream={} model={} adapter={}",
                                    LogText{this->properties.requestId}, LogText{upstreamId},
                                    LogText{this->properties.model},
                                    LogText{this->properties.adapter}));
        // Reads the rest of the body so that the connection can be reused.
        const Duration timeout =
            std::min<Duration>(OverloadRetryAfter, this->deadline - clockNow());
        const auto rest = co_await stream.read(timeout);
        co_return result;
    }
    result.evidenceSource = source;
    const bool success = stream.status() / 100 == 2;
    const bool genuine = answer.hasSeal && !answer.isEncoded && namesRequest;
    if (answer.isEncoded || (success && !genuine)) {
        result.outcome = AttemptOutcome::Broken;
        result.reason = "the answer is not the upstream's own";
        co_return result;
    }
    if (this->hasStreamBegun && success && !answer.isEventStream) {
        result.outcome = AttemptOutcome::Broken;
        result.reason = "the answer does not continue the stream";
        co_return result;
    }
    if (success && this->route->kind == RouteKind::Streaming && answer.isEventStream)
        result = co_await this->relayEventStream(stream, answer.statesEventStream);
    else
        result = co_await this->relayBufferedResponse(stream, success);
    result.evidenceSource = source;
    co_return result;
}

void Exchange::noteDirectives(const std::string &upstreamId, uint64_t startedAtMs,
                              const ResponseProperties &answer, int status)
{
    const Instant now = clockNow();
    const bool isGenuine =
        answer.requestId == this->properties.requestId && answer.hasSeal && !answer.isNotExecuted;
    auto &directives = this->gateway.dispatcher.directives();
    const DirectiveKind news =
        directives.noteAnswer(upstreamId, startedAtMs, answer.directives, isGenuine, now);
    if (news != DirectiveKind::None)
        logDecision(
            LogPriority::Notable, now,
            fmt::format("event=directive id={} upstream={} kind={} status={} limit_per_s={} "
                        "share_per_s={:.3f} retry_after_ms={}",
                        LogText{this->properties.requestId}, LogText{upstreamId}, enumName(news),
                        status, answer.directives.limitPerSecond.value_or(-1),
                        directives.shareOfLimit(upstreamId),
                        answer.directives.retryAfter ? toMs(*answer.directives.retryAfter) : -1));
    if (!answer.malformedDirective.empty())
        logDecision(LogPriority::Notable, now,
                    fmt::format("event=malformed_directive id={} upstream={} header={:?}",
                                LogText{this->properties.requestId}, LogText{upstreamId},
                                answer.malformedDirective));
}

asio::awaitable<Exchange::AttemptResult> Exchange::relayEventStream(HttpStream &stream,
                                                                    bool mayBeEmpty)
{
    AttemptResult result;
    if (!this->hasStreamBegun) {
        HttpHeaders headers = this->gateway.codec.makeCallerHeaders(stream.headers());
        this->hasStreamBegun = true;
        this->lastEventAt = clockNow();
        if (!co_await this->responder.start(stream.status(), std::move(headers)))
            this->isCallerGone = true;
    }
    this->eventSplitter.beginNextRun();
    const bool canEndEmpty = mayBeEmpty && !stream.endsWithConnection();
    // Time spent on reads since the last complete event, and whether the write of that event took
    // so long that the upstream's bytes may have waited here.
    Duration waitedForEvent{};
    bool wasCallerSlow = false;
    while (!this->isCallerGone) {
        const Instant waitedSince = clockNow();
        // The timeout of a read does not expire while the upstream has bytes ready, so the deadline
        // is checked explicitly.
        if (this->isPastDeadline(waitedSince)) {
            result.outcome = AttemptOutcome::TimedOut;
            result.reason = "the deadline passed";
            co_return result;
        }
        auto piece = co_await stream.read(this->deadline - waitedSince);
        const Duration waited = clockNow() - waitedSince;
        this->longestReadWait = std::max(this->longestReadWait, waited);
        waitedForEvent += waited;
        if (!isOk(piece)) {
            result.outcome = this->isPastDeadline(clockNow()) ? AttemptOutcome::TimedOut
                                                              : AttemptOutcome::Broken;
            result.reason = error(piece).message;
            co_return result;
        }
        const bool ended = value(piece).empty();
        std::string whole = this->eventSplitter.feed(value(piece));
        if (const auto fault = this->findStreamFault(ended, canEndEmpty); !fault.empty()) {
            result.outcome = AttemptOutcome::Broken;
            result.reason = fault;
            co_return result;
        }
        if (!whole.empty()) {
            if (!this->bindStream(clockNow())) {
                result.outcome = AttemptOutcome::Broken;
                result.reason = "the upstream may have another software version now";
                co_return result;
            }
            this->lastEventAt = clockNow();
            this->recordAnswerProgress(this->lastEventAt);
            if (this->admission)
                this->admission->noteEvent(this->lastEventAt);
            this->recordEvents(waitedForEvent, wasCallerSlow, this->lastEventAt);
            waitedForEvent = {};
            if (!co_await this->responder.write(std::move(whole))) {
                this->isCallerGone = true;
                result.reason = "the caller left or did not read in time";
            }
            wasCallerSlow = clockNow() - this->lastEventAt > SlowCallerTime;
        }
        // The engine has finished, however long the caller takes to read the rest.
        if (ended)
            this->admission.reset();
        if (ended && !this->isCallerGone) {
            co_await this->responder.finish();
            this->recordResponseDuration(clockNow());
            result.isFinal = true;
            result.isSound = true;
            this->log(stream.status(), "served", "");
            co_return result;
        }
    }
    co_return result;
}

std::string_view Exchange::findStreamFault(bool ended, bool canEndEmpty) const
{
    const auto &events = this->eventSplitter;
    if (events.isEventTooLarge())
        return "an event does not end";
    if (events.isOutOfSequence())
        return "an event does not come after those of the run before";
    if (ended && events.hasIncompleteEvent())
        return "the stream ended inside an event";
    if (ended && !events.hasEvents() && !canEndEmpty)
        return "the stream ended without an event";
    return "";
}

asio::awaitable<Exchange::AttemptResult> Exchange::relayBufferedResponse(HttpStream &stream,
                                                                         bool success)
{
    AttemptResult result;
    this->responseMemory.release();
    HttpResponse response;
    response.status = stream.status();
    response.headers = this->gateway.codec.makeCallerHeaders(stream.headers());
    if (success && this->admission)
        this->admission->noteEvent(clockNow());
    while (true) {
        auto piece = co_await stream.read(this->deadline - clockNow());
        if (!isOk(piece)) {
            result.outcome = this->isPastDeadline(clockNow()) ? AttemptOutcome::TimedOut
                                                              : AttemptOutcome::Broken;
            result.reason = error(piece).message;
            co_return result;
        }
        if (value(piece).empty())
            break;
        const bool isTooLarge = response.body.size() + value(piece).size() > MaxBufferedBodyBytes;
        if (isTooLarge || !this->responseMemory.tryGrow(value(piece).size())) {
            // A lack of memory here says nothing about the upstream.
            result.outcome = isTooLarge ? AttemptOutcome::Broken : AttemptOutcome::Abandoned;
            result.reason =
                isTooLarge ? "the answer is too large" : "no memory is left for the answer";
            co_return result;
        }
        response.body += value(piece);
    }
    this->admission.reset();
    if (!success) {
        result.outcome =
            response.status >= 500 ? AttemptOutcome::ServerError : AttemptOutcome::Answered;
        result.reason = fmt::format("the upstream answered {}", response.status);
        result.upstreamError = std::move(response);
        // Only a server error is retried: an error of the request itself would fail at every
        // upstream.
        if (result.outcome == AttemptOutcome::ServerError)
            co_return result;
        response = *result.upstreamError;
    }
    result.isFinal = true;
    if (this->hasStreamBegun) {
        this->abortStream(result.reason);
        co_return result;
    }
    result.isSound = success;
    if (success)
        this->recordResponseDuration(clockNow());
    if (!success) {
        co_await this->finishWithResponse(std::move(response), "upstream_failed", result.reason);
        co_return result;
    }
    const int status = response.status;
    co_await this->responder.respond(std::move(response));
    this->log(status, "served", "");
    co_return result;
}

asio::awaitable<void> Exchange::finishAfterFailedAttempts(AttemptResult result)
{
    if (result.upstreamError && !this->hasStreamBegun) {
        co_await this->finishWithResponse(std::move(*result.upstreamError), "upstream_failed",
                                          result.reason);
        co_return;
    }
    if (this->executions.possibleExecutions() == 0 && this->isShutdownDue(clockNow())) {
        co_await this->refuseForShutdown(result.reason);
        co_return;
    }
    if (this->executions.possibleExecutions() == 0) {
        // If the upstream lacked the model, an engine must load it before the caller retries.
        const bool missing =
            result.outcome == AttemptOutcome::Misdirected && !this->properties.model.empty();
        Duration retryAfter = OverloadRetryAfter;
        if (missing)
            retryAfter = this->gateway.dispatcher.retryForMissing(this->makeQuery(), clockNow());
        co_await this->finishWithError(missing ? ErrorKind::NoReplica : ErrorKind::Overloaded,
                                       result.reason, retryAfter);
        co_return;
    }
    co_await this->finishWithError(
        result.outcome == AttemptOutcome::TimedOut ? ErrorKind::Timeout : ErrorKind::OutcomeUnknown,
        result.reason);
}

asio::awaitable<void> Exchange::finishWithError(ErrorKind kind, std::string reason,
                                                std::optional<Duration> retryAfter)
{
    if (this->hasStreamBegun) {
        this->abortStream(reason);
        co_return;
    }
    const auto &answer = errorAnswer(kind);
    if (!retryAfter && answer.retryAfterMs > 0 && answer.ran == Ran::No)
        retryAfter = milliseconds(answer.retryAfterMs);
    std::string type(answer.type);
    HttpResponse response = this->gateway.codec.makeErrorResponse(
        this->properties.requestId, answer.httpStatus, type, reason, retryAfter);
    std::string outcome(enumName(kind));
    co_await this->finishWithResponse(std::move(response), std::move(outcome), std::move(reason));
}

asio::awaitable<void> Exchange::finishWithResponse(HttpResponse response, std::string outcome,
                                                   std::string reason)
{
    const auto &codec = this->gateway.codec;
    const bool isRepeatable = this->route != nullptr && this->route->isRepeatable();
    if (codec.statesNotExecuted(response.status) && !isRepeatable &&
        this->executions.possibleExecutions() > 0) {
        const auto &unknown = errorAnswer(ErrorKind::OutcomeUnknown);
        reason = fmt::format("{}; status {} is withheld, as the request may have run", reason,
                             response.status);
        outcome = enumName(unknown.kind);
        std::string type(unknown.type);
        response = codec.makeErrorResponse(this->properties.requestId, unknown.httpStatus, type,
                                           reason, std::nullopt);
        this->gateway.metrics.counter("tray_gateway_statuses_withheld_total").add();
    }
    // Logged before it is sent, so that no caller knows of an error without a line.
    this->log(response.status, outcome, reason);
    co_await this->responder.respond(std::move(response));
}

void Exchange::abortStream(const std::string &reason)
{
    this->log(0, "stream_cut", reason);
    this->responder.abort();
}

void Exchange::abortForShutdown(Instant now)
{
    logDecision(
        LogPriority::Notable, now,
        fmt::format("event=unanswered id={} route={} model={} phase={} begun={} upstream={} "
                    "sends={} runs={} age_ms={} deadline_left_ms={}",
                    LogText{this->properties.requestId},
                    LogText{this->route == nullptr ? "none" : this->route->name},
                    LogText{this->properties.model}, enumName(this->phase), this->hasStreamBegun,
                    LogText{this->lastUpstream}, this->sendCount,
                    this->executions.possibleExecutions(), toMs(now - this->arrived),
                    toMs(this->deadline - now)));
    if (this->attemptCancel)
        this->attemptCancel->cancel();
    if (this->admission)
        this->admission->wake();
}

asio::awaitable<void> Exchange::refuseForShutdown(std::string reason)
{
    co_await this->finishWithError(ErrorKind::Draining, "the instance stops: " + reason,
                                   ShutdownSchedule::DrainRetryAfter);
}

LogPriority Exchange::logPriority(int status, bool isServed) const
{
    if (isServed)
        return LogPriority::Routine;
    return this->gateway.codec.statesNotExecuted(status) ? LogPriority::Essential
                                                         : LogPriority::Notable;
}

void Exchange::log(int status, const std::string &outcome, const std::string &reason) const
{
    const Instant now = clockNow();
    const bool served = outcome == "served";
    auto &metrics = this->gateway.metrics;
    const std::string routeName = this->route == nullptr ? "none" : this->route->name;
    metrics.counter("tray_gateway_requests_total", "outcome=\"" + outcome + "\"").add();
    if (served && this->firstByteAt)
        metrics.histogram("tray_gateway_first_answer_ms").add(*this->firstByteAt - this->arrived);
    logDecision(
        this->logPriority(status, served), now,
        fmt::format(
            "event=request id={} route={} account={} model={} adapter={} outcome={} status={} "
            "upstream={} sends={} runs={} executions={} config={} snapshot_age_ms={} "
            "cost={:.0f} slowness={:.2f} admission_ms={} first_ms={} median_gap_ms={} "
            "longest_pause_ms={} ms={} parts={} reason={:?}",
            LogText{this->properties.requestId}, LogText{routeName},
            LogText{this->account == nullptr ? "none" : this->account->name},
            LogText{this->properties.model}, LogText{this->properties.adapter}, outcome, status,
            LogText{this->lastUpstream}, this->sendCount, this->executions.possibleExecutions(),
            this->executions.describe(), this->config ? this->config->version : 0,
            this->lastSnapshotAge < Duration::zero() ? -1 : toMs(this->lastSnapshotAge),
            this->lastCostMs, this->lastSlowness,
            this->admissionTime ? toMs(*this->admissionTime) : -1,
            this->firstByteAt ? toMs(*this->firstByteAt - this->arrived) : -1,
            this->medianEventGap() ? toMs(*this->medianEventGap()) : -1,
            toMs(this->longestReadWait), toMs(now - this->arrived), this->describeSharedParts(),
            reason));
}

} // namespace tray
