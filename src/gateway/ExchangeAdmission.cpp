// Asks the steward beside an engine to admit a request, waits for its answer and refuses requests
// that no engine would admit in time.
#include "gateway/Exchange.h"

#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Retry-After of a request for which no engine has told an expected wait.
constexpr Duration AdmissionRetryAfter = milliseconds(500);

} // namespace

AdmissionQuery Exchange::makeAdmissionQuery(const DispatchTarget &target,
                                            const UpstreamEntry &entry, Instant now) const
{
    const uint32_t ownTokens = this->properties.promptTokens -
                               std::min(target.cachedTokens, this->properties.promptTokens);
    const uint32_t outputTokens = this->properties.expectedOutputTokens > 0
                                      ? this->properties.expectedOutputTokens
                                      : this->properties.maxOutputTokens;
    AdmissionQuery ask;
    ask.upstreamId = target.upstreamId;
    ask.startedAtMs = entry.startedAtMs;
    ask.steward = this->gateway.stewardAddress(entry);
    ask.isRemote = this->gateway.isInOtherRegion(entry.dataCentre);
    ask.priority = this->priority();
    ask.account = this->account == nullptr ? 0 : this->account->digest;
    ask.promptTokens = this->properties.promptTokens;
    ask.prefillMs =
        this->gateway.dispatcher.prefillTimes().msPerToken(this->properties.model) * ownTokens;
    // Memory of cached parts is counted once, for the requests that brought them.
    ask.kvTokens = uint64_t{ownTokens} + outputTokens;
    // A request that an upstream may have run, and a stream that resumes, wait for as long as their
    // callers do, since a refusal would not spare them anything.
    const bool isNew = this->executions.possibleExecutions() == 0 && !this->hasStreamBegun &&
                       !this->isContinuation();
    const Duration left =
        isNew ? this->timeUntilLatencyLimit(now) : this->timeUntilCallerTimeout(now);
    ask.queueLimit =
        now + std::max<Duration>(left - milliseconds(static_cast<int64_t>(ask.prefillMs)),
                                 Duration::zero());
    ask.deadline = this->deadline;
    // Only streams can pause; zero tells the steward that the answer is none.
    if (this->route->kind == RouteKind::Streaming)
        ask.eventGap = this->route->eventGapGoal;
    ask.fastestGap = this->gateway.dispatcher.fastestGap(this->service);
    const auto &config = *this->gateway.config;
    if (const auto *service = config.findService(entry.service); service && service->engine)
        ask.capacity = {config.version, service->engine->slots, service->engine->kvCapacityTokens};
    return ask;
}

asio::awaitable<Exchange::AdmissionStep> Exchange::awaitAdmission(DispatchTarget target)
{
    auto &dispatcher = this->gateway.dispatcher;
    const auto &entries = this->gateway.directory.entries();
    const auto listed = entries.find(target.upstreamId);
    const bool isListed = listed != entries.end() && listed->second.phase == UpstreamPhase::Ready;
    if (!isListed) {
        // The dispatcher has not been given the new list yet.
        co_await this->gateway.capacityChanged.waitFor(QueueRecheckInterval, this->priority());
        co_return AdmissionStep::ChooseAgain;
    }
    const uint64_t startedAtMs = listed->second.startedAtMs;
    const Instant began = clockNow();
    this->phase = ExchangePhase::Queued;
    this->admission =
        std::make_unique<Admission>(this->gateway.admissionClient,
                                    this->makeAdmissionQuery(target, listed->second, began), began);
    const AdmissionWait &progress = this->admission->progress();
    bool isDecided = false;
    bool hasBeenQueued = false;
    AdmissionStep step = AdmissionStep::ChooseAgain;
    while (!this->isCallerGone) {
        const Instant now = clockNow();
        const auto entry = entries.find(target.upstreamId);
        if (this->isPastDeadline(now) || this->isShutdownDue(now) || entry == entries.end() ||
            entry->second.startedAtMs != startedAtMs || entry->second.phase != UpstreamPhase::Ready)
            break;
        this->admission->advance(now);
        if (progress.isOver()) {
            isDecided = true;
            break;
        }
        if (progress.state() == AdmissionState::Queued && !hasBeenQueued) {
            hasBeenQueued = true;
            dispatcher.noteAdmissionWait(target.upstreamId, progress.expectedWait(), now);
            if (!this->hasLeftQueue &&
                dispatcher.isFasterElsewhere(target.upstreamId, progress.expectedWait(),
                                             this->makeQuery(), now)) {
                this->hasLeftQueue = true;
                this->leftUpstream = target.upstreamId;
                break;
            }
        }
        if (progress.state() == AdmissionState::Queued &&
            !this->gateway.shutdownSchedule.canFinish(this->route->name, progress.expectedWait(),
                                                      now)) {
            step = AdmissionStep::Stopping;
            break;
        }
        co_await this->admission->waitForChange(now);
    }
    const Instant now = clockNow();
    this->admission->endWait();
    this->admissionTime = this->admissionTime.value_or(Duration::zero()) + (now - began);
    std::string_view outcome = "abandoned";
    if (isDecided)
        outcome = enumName(progress.state());
    else if (this->leftUpstream == target.upstreamId)
        outcome = "left_queue";
    this->gateway.metrics
        .counter("tray_gateway_admissions_total", fmt::format("outcome=\"{}\"", outcome))
        .add();
    switch (progress.state()) {
    case AdmissionState::Granted:
        if (isDecided)
            step = AdmissionStep::Granted;
        break;
    case AdmissionState::Refused:
    case AdmissionState::TooLong:
        this->crowdedUpstreams.insert(target.upstreamId);
        // A request that can never fit is refused with an endless wait.
        if (progress.expectedWait() > Duration::zero() &&
            now + progress.expectedWait() < this->deadline) {
            dispatcher.noteAdmissionWait(target.upstreamId, progress.expectedWait(), now);
            this->shortestAdmissionWait = std::min(
                progress.expectedWait(), this->shortestAdmissionWait.value_or(Duration::max()));
        }
        break;
    case AdmissionState::Silent:
        // Other requests that asked at the same time notice it, too.
        if (!dispatcher.usesAdmission(target.upstreamId, now))
            break;
        dispatcher.noteSilentSteward(target.upstreamId, now);
        logDecision(LogPriority::Notable, now,
                    fmt::format("event=steward_silent id={} upstream={} after_ms={}",
                                LogText{this->properties.requestId}, LogText{target.upstreamId},
                                toMs(now - began)));
        break;
    default:
        break;
    }
    if (step != AdmissionStep::Granted)
        this->admission.reset();
    co_return step;
}

asio::awaitable<void> Exchange::refuseUnadmitted()
{
    const Duration retryAfter = this->shortestAdmissionWait.value_or(AdmissionRetryAfter);
    co_await this->finishWithError(
        ErrorKind::Overloaded,
        fmt::format("{} engines asked; none admits the request in time; shortest wait {} ms",
                    this->crowdedUpstreams.size(),
                    this->shortestAdmissionWait ? toMs(*this->shortestAdmissionWait) : -1),
        retryAfter);
}

} // namespace tray
