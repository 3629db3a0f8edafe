// Chooses upstreams for one request and sends its attempts and retries; ExchangeAdmission.cpp waits
// for admission at engines, and ExchangeResponse.cpp handles the responses.
#include "gateway/Exchange.h"

#include "base/BootClock.h"
#include "base/Hash.h"
#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Maximum number of attempts of one request, including those that the upstream refused and those
// whose adapter could not be loaded.
constexpr int MaxSendsPerRequest = 4;
// Timeout for establishing a connection. It covers a round trip between regions with one lost
// packet.
constexpr Duration ConnectTimeout = milliseconds(1300);
// Maximum idle time of a connection that is reused for a request that must not be repeated. The
// probability that the upstream has just closed a connection grows with its idle time.
constexpr Duration MaxIdleTimeNonIdempotent = milliseconds(700);
// Maximum idle time of a connection that is reused for a request that may be repeated.
constexpr Duration MaxIdleTimeIdempotent = std::chrono::seconds(8);
// Timeout for loading an adapter, including the orders to the engine.
constexpr Duration AdapterLoadTimeout = milliseconds(350);
// Interval at which the adapter request is sent again, because a datagram may have been lost.
constexpr Duration AdapterResendInterval = milliseconds(90);
// Minimum time after which callers are assumed to abandon a request without a first or next event.
// The assumed timeout is the longest of this time, a multiple of the route's latency goal and a
// multiple of the route's goal for pauses between events. It is slightly less than what callers
// announce.
constexpr Duration MinCallerTimeout = milliseconds(1800);
// Assumed caller timeout as a multiple of the route's latency goal.
constexpr int CallerTimeoutGoalFactor = 3;
// Assumed caller timeout as a multiple of the route's goal for pauses between events.
constexpr int CallerTimeoutGapFactor = 7;
// Engine time of one output token in a full batch, as a number of prompt tokens.
constexpr double PromptTokensPerOutputToken = 1.5;
// Maximum time to wait for the news whether the upstream of a broken attempt has ended. It covers
// two round trips between regions.
constexpr Duration CrashVerdictTimeout = milliseconds(150);
constexpr int GatewayTimeoutStatus = 504;
// Part of the accepted pause from which a pause is recorded as soon as it ends. A stream may run
// for many seconds more, in which its engine would get more requests.
constexpr double NotablePauseRatio = 0.5;
// Longest wait for an upstream that can continue a stream. It covers a restart of an engine and
// loads of its models from copies on its host.
constexpr Duration MaxContinuationWait = std::chrono::seconds(10);
// Most parts of a prompt that a log line names.
constexpr size_t MaxLoggedParts = 8;
// Requests with a latency goal of at least this time have a lower priority
// than others of their rank.
constexpr Duration RelaxedGoalThreshold = std::chrono::seconds(5);
// Priority of a request of the first rank with a shorter latency goal; lower values are served
// first. The value of a stream that resumes is lower by this amount.
constexpr int FirstRankPriority = 2;
// Number of engines that a request asks for admission in vain before it is refused.
constexpr size_t MaxCrowdedUpstreams = 3;

/// Returns a digest of what the caller sends again with each attempt; the request's id and its
/// deadline differ between attempts.
uint64_t makeContentDigest(const HttpRequest &request, const RequestProperties &properties)
{
    uint64_t digest = hash64(request.body);
    for (const std::string_view part :
         {std::string_view(request.method), std::string_view(request.target),
          std::string_view(properties.host), std::string_view(properties.model),
          std::string_view(properties.adapter), findHeader(request.headers, "Authorization")})
        digest = hash64(part, digest);
    return digest;
}

SuspectIdentity makeSuspectIdentity(const HttpRequest &request, const RequestProperties &properties)
{
    SuspectIdentity identity;
    identity.contentDigest = makeContentDigest(request, properties);
    // The last part belongs to this request or its session.
    const auto &parts = properties.promptParts;
    for (size_t i = 0; i + 1 < parts.size(); ++i)
        identity.partDigests.push_back(hash64(fmt::format("part {:x}", parts[i].id)));
    auto &digests = identity.partDigests;
    std::sort(digests.begin(), digests.end());
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    return identity;
}

} // namespace

Exchange::Exchange(Gateway &gateway, HttpRequest request, HttpResponder &responder, Instant arrived)
    : gateway(gateway), request(std::move(request)), responder(responder), arrived(arrived),
      activeExchanges(gateway.activeExchanges), config(gateway.config),
      responseMemory(gateway.bodyMemory)
{
    this->activeExchanges->insert(this);
}

asio::awaitable<void> Exchange::run()
{
    auto decoded = this->gateway.codec.decodeRequest(this->request);
    if (!isOk(decoded)) {
        co_await this->finishWithError(ErrorKind::BadRequest, error(decoded).message);
        co_return;
    }
    this->properties = value(std::move(decoded));
    if (!this->config) {
        co_await this->finishWithError(ErrorKind::PlatformUnavailable,
                                       "no configuration is known yet");
        co_return;
    }
    this->route = this->config->findRoute(this->properties.host, pathOf(this->request.target));
    if (this->route == nullptr) {
        co_await this->finishWithError(ErrorKind::NotFound, "no route for this host and path");
        co_return;
    }
    if (!this->identifyAccount()) {
        co_await this->finishWithError(ErrorKind::Unauthorized,
                                       "the request has no valid key of a client account");
        co_return;
    }
    const Duration timeout = this->properties.timeout.value_or(this->route->timeout);
    this->deadline = this->arrived + std::min(timeout, this->route->timeout);
    this->responder.setDeadline(this->deadline);
    // All attempts of a caller on one stream get the same service.
    const auto &firstRequestId = this->properties.resumedRequestId.empty()
                                     ? this->properties.requestId
                                     : this->properties.resumedRequestId;
    this->service = chooseService(*this->route, hash64(firstRequestId));
    this->responder.onPeerGone([this] {
        this->isCallerGone = true;
        if (this->attemptCancel)
            this->attemptCancel->cancel();
        if (this->admission)
            this->admission->wake();
        this->gateway.snapshotArrived.notifyAll();
        this->gateway.capacityChanged.notifyAll();
    });
    this->suspectIdentity = makeSuspectIdentity(this->request, this->properties);
    // Requests over the limit are no demand that models are loaded for.
    if (this->needsQuota() && !co_await this->acquireQuota())
        co_return;
    if (!this->properties.model.empty())
        this->recordDemand();
    if (!co_await this->resolveStreamVersion())
        co_return;
    co_await this->dispatchWithRetries();
}

bool Exchange::identifyAccount()
{
    if (!this->config->accounts || this->route->anonymous)
        return true;
    if (!this->properties.accountKey.empty())
        this->account = this->config->accounts->findByKey(this->properties.accountKey);
    return this->account != nullptr;
}

asio::awaitable<bool> Exchange::acquireQuota()
{
    const uint64_t cost = this->account->quota.costOf(this->properties.tokenUsage);
    auto result = co_await this->gateway.quotas.acquire(*this->account, cost);
    if (auto *lease = std::get_if<QuotaLease>(&result)) {
        this->quota.emplace(std::move(*lease));
        co_return true;
    }
    const auto &refusal = std::get<QuotaRefusal>(result);
    co_await this->finishWithError(
        refusal.kind,
        fmt::format("{} for {} units of the account's quota",
                    refusal.kind == ErrorKind::QuotaExceeded ? "no credit" : "no answer", cost),
        refusal.retryAfter);
    co_return false;
}

void Exchange::recordDemand()
{
    const double tokens = this->properties.promptTokens +
                          PromptTokensPerOutputToken * this->properties.expectedOutputTokens;
    const double workMs =
        tokens * this->gateway.dispatcher.prefillTimes().msPerToken(this->properties.model);
    this->gateway.demand.recordRequest(this->properties.model, this->properties.promptTokens,
                                       this->properties.expectedOutputTokens, workMs,
                                       this->arrived);
}

asio::awaitable<void> Exchange::dispatchWithRetries()
{
    AttemptResult last;
    last.reason = "no upstream was tried";
    while (!this->isCallerGone) {
        // In a busy event loop, the notification that the caller has disconnected arrives only
        // after the request has been sent, so the connection is checked here.
        if (this->responder.isPeerGone()) {
            this->isCallerGone = true;
            break;
        }
        if (this->isPastDeadline(clockNow())) {
            last.reason = "the deadline passed";
            break;
        }
        if (this->isShutdownDue(clockNow())) {
            last.reason = "the instance stops";
            break;
        }
        const auto suspicion =
            this->gateway.suspectExchange.crashTracker().decide(this->suspectIdentity, clockNow());
        if (suspicion.verdict == SuspectVerdict::Refused) {
            last.reason =
                fmt::format("suspect {:016x} has crashed several upstreams", suspicion.digest);
            if (this->executions.possibleExecutions() > 0 || last.upstreamError ||
                this->hasStreamBegun)
                break;
            co_await this->finishWithError(ErrorKind::SuspectQuarantined, last.reason,
                                           suspicion.retryAfter);
            co_return;
        }
        this->phase = ExchangePhase::ChoosingUpstream;
        if (const Duration wait = this->gateway.listWaitTime(clockNow()); wait > Duration::zero()) {
            co_await this->gateway.listConfirmed.waitFor(wait, this->priority());
            continue;
        }
        const DispatchQuery query = this->makeQuery();
        const DispatchDecision choice = this->gateway.dispatcher.choose(query, clockNow());
        // The engine whose queue was left is asked again if no other one is left.
        if (!this->leftUpstream.empty() && std::holds_alternative<DispatchRefusal>(choice)) {
            this->leftUpstream.clear();
            continue;
        }
        if (this->crowdedUpstreams.size() >= MaxCrowdedUpstreams ||
            (!this->crowdedUpstreams.empty() && std::holds_alternative<DispatchRefusal>(choice))) {
            if (this->executions.possibleExecutions() > 0 || last.upstreamError)
                break;
            co_await this->refuseUnadmitted();
            co_return;
        }
        if (const auto *refusal = std::get_if<DispatchRefusal>(&choice)) {
            // An earlier attempt that may have been executed, or that got a response, determines
            // the final response. Otherwise nothing was executed, and the refusal states why.
            if (!this->isContinuation() && (this->executions.possibleExecutions() > 0 ||
                                            last.upstreamError || this->hasStreamBegun))
                break;
            if (last.outcome == AttemptOutcome::Full)
                break;
            const Instant now = clockNow();
            // The planner is told of waiting and of refused continuations: their callers ask again.
            if (this->isContinuation() && refusal->kind == ErrorKind::NoReplica &&
                !this->properties.model.empty())
                this->gateway.demand.recordWaitingContinuation(
                    this->service, this->properties.model, *this->streamVersion, now);
            // The model is still being loaded, or the upstreams take no requests now, but the
            // response will meet the latency goal.
            // Several requests wait for the same upstream, and each needs time to be served.
            const int factor = refusal->forbiddenBy == DirectiveKind::None ? 1 : 2;
            const bool isOnTime =
                refusal->readyIn && factor * *refusal->readyIn <= this->timeUntilRefusal(now);
            if (isOnTime && !this->gateway.shutdownSchedule.canFinish(this->route->name,
                                                                      *refusal->readyIn, now)) {
                co_await this->refuseForShutdown(
                    fmt::format("an upstream is ready in {} ms", toMs(*refusal->readyIn)));
                co_return;
            }
            if (isOnTime) {
                if (this->isContinuation() && !this->continuationWaitBeganAt)
                    this->continuationWaitBeganAt = now;
                this->phase = refusal->forbiddenBy == DirectiveKind::None
                                  ? ExchangePhase::LoadingModel
                                  : ExchangePhase::Queued;
                this->logWait(*refusal, now);
                co_await this->gateway.capacityChanged.waitFor(QueueRecheckInterval,
                                                               this->priority());
                continue;
            }
            if (this->executions.possibleExecutions() > 0 || last.upstreamError)
                break;
            this->gateway.demand.recordRefusal(this->properties.model, clockNow());
            co_await this->finishWithError(refusal->kind, refusal->reason, refusal->retryAfter);
            co_return;
        }
        if (const auto *wait = std::get_if<DispatchWait>(&choice)) {
            // An earlier attempt that may have been executed, or that got a response, determines
            // the final response.
            const bool mayHaveRun =
                !this->hasStreamBegun &&
                (this->executions.possibleExecutions() > 0 || last.upstreamError);
            const bool worthwhile = co_await this->waitInPrefillQueue(*wait, mayHaveRun);
            if (worthwhile)
                continue;
            if (mayHaveRun)
                break;
            co_return;
        }
        this->takeTurn();
        const auto target = std::get<DispatchTarget>(choice);
        // Entered before the adapter is requested, so that requests that wait send no such request.
        if (!this->enterSuspectGates(clockNow())) {
            last.reason = "a request with the same suspect is running";
            if (this->timeUntilLatencyLimit(clockNow()) <= Duration::zero())
                break;
            co_await this->gateway.capacityChanged.waitFor(QueueRecheckInterval, this->priority());
            continue;
        }
        this->gateway.recordUpstreamUse(target.upstreamId);
        if (!this->properties.adapter.empty()) {
            const bool ready = co_await this->ensureAdapterLoaded(target);
            this->leaveSuspectGates();
            if (!ready) {
                this->triedUpstreams.insert(target.upstreamId);
                last.reason = "the adapter could not be loaded";
                if (++this->sendCount >= MaxSendsPerRequest)
                    break;
                continue;
            }
            // Others that waited for the adapter may have used what the upstream allows, and news
            // of a crash may have come.
            if (!this->gateway.dispatcher.takesRequests(target.upstreamId, clockNow()) ||
                !this->gateway.dispatcher.hasVersion(target.upstreamId, this->streamVersion) ||
                !this->enterSuspectGates(clockNow()))
                continue;
        }
        const bool isUnserved = this->executions.possibleExecutions() == 0 && !last.upstreamError &&
                                !this->hasStreamBegun;
        if (!query.model.empty() &&
            this->gateway.dispatcher.usesAdmission(target.upstreamId, clockNow())) {
            const AdmissionStep step = co_await this->awaitAdmission(target);
            this->leaveSuspectGates();
            if (step == AdmissionStep::Stopping) {
                last.reason = "the engines admit the request too late for the shutdown";
                if (!isUnserved)
                    break;
                co_await this->refuseForShutdown(last.reason);
                co_return;
            }
            // The upstream and the suspects may have changed during the wait.
            if (step == AdmissionStep::ChooseAgain ||
                !this->gateway.dispatcher.takesRequests(target.upstreamId, clockNow()) ||
                !this->gateway.dispatcher.hasVersion(target.upstreamId, this->streamVersion) ||
                !this->enterSuspectGates(clockNow())) {
                this->admission.reset();
                continue;
            }
        }
        if (isUnserved && !this->gateway.shutdownSchedule.canStart(this->route->name,
                                                                   this->deadline, clockNow())) {
            this->admission.reset();
            co_await this->refuseForShutdown("the answer is not expected to be whole in time");
            co_return;
        }
        if (this->quota && !this->quota->spend(bootNow())) {
            this->leaveSuspectGates();
            this->quota.reset();
            if (!co_await this->acquireQuota())
                co_return;
            continue;
        }
        this->gateway.suspectExchange.handleProbe(this->suspectIdentity.probes,
                                                  this->properties.requestId, clockNow());
        // The next attempt replaces the error of the one before.
        last.upstreamError.reset();
        this->crowdedUpstreams.clear();
        this->hasLeftQueue = false;
        this->leftUpstream.clear();
        this->shortestAdmissionWait.reset();
        last = co_await this->attempt(target);
        this->admission.reset();
        this->leaveSuspectGates();
        this->recordForSuspects(last, target.upstreamId);
        if (last.isFinal)
            co_return;
        this->triedUpstreams.insert(target.upstreamId);
        if (!this->tryConsumeRetry(last, clockNow()))
            break;
        if (last.outcome == AttemptOutcome::Broken)
            co_await this->awaitCrashVerdict(target.upstreamId);
    }
    if (this->isCallerGone) {
        this->log(0, "caller_left", last.reason);
        co_return;
    }
    co_await this->finishAfterFailedAttempts(std::move(last));
}

void Exchange::recordForSuspects(const AttemptResult &result, const std::string &upstreamId)
{
    auto &suspects = this->gateway.suspectExchange;
    const Instant now = clockNow();
    if (result.isSound)
        suspects.handleSoundAnswer(this->suspectIdentity.partDigests, now);
    // An upstream whose time ran out may not have begun with the request.
    const bool hasRun = result.isFinal || (result.outcome == AttemptOutcome::ServerError &&
                                           result.upstreamError->status != GatewayTimeoutStatus);
    if (hasRun) {
        suspects.handleCompletion(this->suspectIdentity.contentDigest, now);
        return;
    }
    const auto &entries = this->gateway.directory.entries();
    const auto entry = entries.find(upstreamId);
    if (result.outcome == AttemptOutcome::Broken && result.mayHaveRun() && entry != entries.end()) {
        SuspectIdentity identity = this->suspectIdentity;
        if (this->hasSoundAnswer)
            identity.partDigests.clear();
        suspects.handleBreak(identity, this->properties.requestId, entry->second, this->sentAt,
                             now);
    }
    if (result.outcome == AttemptOutcome::Broken && result.mayHaveRun())
        logDecision(LogPriority::Notable, now,
                    fmt::format("event=broken_run id={} upstream={} begun_ms={} parts={}",
                                LogText{this->properties.requestId}, LogText{upstreamId},
                                this->firstByteAt ? toMs(now - *this->firstByteAt) : -1,
                                this->describeSharedParts()));
}

void Exchange::recordAnswerProgress(Instant now)
{
    if (this->hasSoundAnswer || !this->firstByteAt ||
        now - *this->firstByteAt < CrashTracker::SoundAnswerTime)
        return;
    this->hasSoundAnswer = true;
    this->gateway.suspectExchange.handleSoundAnswer(this->suspectIdentity.partDigests, now);
}

bool Exchange::enterSuspectGates(Instant now)
{
    auto &suspects = this->gateway.suspectExchange;
    const SuspectDecision decision = suspects.crashTracker().decide(this->suspectIdentity, now);
    if (decision.verdict == SuspectVerdict::Refused)
        return false;
    for (const uint64_t digest : decision.runAlone) {
        auto pass = suspects.crashTracker().gate().tryPass(digest);
        if (!pass) {
            this->leaveSuspectGates();
            return false;
        }
        this->suspectPasses.push_back(std::move(*pass));
    }
    this->suspectIdentity.probes = decision.probes;
    return true;
}

asio::awaitable<void> Exchange::awaitCrashVerdict(std::string upstreamId)
{
    const Instant limit = std::min(this->deadline, clockNow() + CrashVerdictTimeout);
    while (!this->isCallerGone && this->gateway.suspectExchange.isProbing(upstreamId)) {
        const Instant now = clockNow();
        if (now >= limit || this->isShutdownDue(now))
            co_return;
        co_await this->gateway.capacityChanged.waitFor(limit - now, this->priority());
    }
}

void Exchange::recordResponseDuration(Instant now)
{
    if (this->firstByteAt)
        this->gateway.shutdownSchedule.recordResponse(this->route->name, now - *this->firstByteAt,
                                                      now - this->sentAt);
}

std::string Exchange::describeSharedParts() const
{
    std::string text;
    const auto &parts = this->properties.promptParts;
    for (size_t i = 0; i + 1 < parts.size() && i < MaxLoggedParts; ++i)
        text += fmt::format("{}{:x}", i == 0 ? "" : ",", parts[i].id);
    return text;
}

void Exchange::logWait(const DispatchRefusal &refusal, Instant now)
{
    if (!std::exchange(this->hasWaited, true))
        logDecision(LogPriority::Routine, now,
                    fmt::format("event={} id={} model={} ready_in_ms={} goal_left_ms={}",
                                refusal.forbiddenBy == DirectiveKind::None ? "wait_for_load"
                                                                           : "wait_for_upstream",
                                LogText{this->properties.requestId},
                                LogText{this->properties.model}, toMs(*refusal.readyIn),
                                toMs(this->timeUntilLatencyLimit(now))));
}

Duration Exchange::timeUntilCallerTimeout(Instant now) const
{
    const Duration byGoal =
        std::max<Duration>({MinCallerTimeout, CallerTimeoutGoalFactor * this->route->latencyGoal,
                            CallerTimeoutGapFactor * this->route->eventGapGoal});
    const Instant since = this->hasStreamBegun ? this->lastEventAt : this->arrived;
    return std::min(since + byGoal, this->deadline) - now;
}

Duration Exchange::timeUntilLatencyLimit(Instant now) const
{
    return std::min<Duration>(this->arrived + this->route->latencyGoal - now,
                              this->timeUntilCallerTimeout(now));
}

Duration Exchange::timeUntilRefusal(Instant now) const
{
    if (!this->isContinuation())
        return this->timeUntilLatencyLimit(now);
    const Instant waitBegan = this->continuationWaitBeganAt.value_or(now);
    return std::min<Duration>(waitBegan + MaxContinuationWait - now,
                              this->timeUntilCallerTimeout(now));
}

asio::awaitable<bool> Exchange::waitInPrefillQueue(DispatchWait wait, bool mayHaveRun)
{
    const Instant now = clockNow();
    auto &prefillQueue = this->gateway.prefillQueue;
    // The expected wait contains the time by which the prefill takes longer than at the fastest
    // engines.
    const double readMs = this->prefillMs();
    const PrefillQueue::EngineEstimate engines{wait.costMs + readMs, wait.candidates};
    // A request that is already queued, and a stream that resumes, is rejected only if the caller
    // would leave first: the goal for a stream's first event does not apply to its later events.
    const bool isNew = !this->queueTicket;
    const Duration predicted =
        isNew ? prefillQueue.predictFirstAnswer(this->properties.model, this->priority(), engines,
                                                now, this->fairShare())
              : prefillQueue.predictFirstAnswer(*this->queueTicket, engines, now);
    const Duration limit = isNew && !this->hasStreamBegun && !this->isContinuation()
                               ? this->timeUntilLatencyLimit(now)
                               : this->timeUntilCallerTimeout(now);
    if (predicted > limit) {
        this->leavePrefillQueue();
        if (mayHaveRun)
            co_return false;
        co_await this->finishWithError(ErrorKind::Overloaded,
                                       fmt::format("{} prompts wait; predicted {} ms, limit {} ms",
                                                   prefillQueue.size(), toMs(predicted),
                                                   toMs(limit)),
                                       predicted - limit / 2);
        co_return false;
    }
    if (!this->gateway.shutdownSchedule.canFinish(this->route->name, predicted, now)) {
        this->leavePrefillQueue();
        if (mayHaveRun)
            co_return false;
        co_await this->refuseForShutdown(fmt::format("predicted {} ms", toMs(predicted)));
        co_return false;
    }
    if (isNew)
        this->queueTicket = prefillQueue.enqueue(this->properties.model, this->priority(), readMs,
                                                 this->fairShare());
    this->phase = ExchangePhase::Queued;
    const Duration recheck = std::min<Duration>(this->deadline - now, QueueRecheckInterval);
    const QueuePlace place = this->config->accounts ? prefillQueue.placeOf(*this->queueTicket, now)
                                                    : QueuePlace(this->priority());
    co_await this->gateway.capacityChanged.waitFor(recheck, place);
    co_return true;
}

Exchange::~Exchange()
{
    this->leavePrefillQueue();
    if (this->quota && this->executions.possibleExecutions() == 0)
        this->quota->refund(bootNow());
    this->activeExchanges->erase(this);
}

void Exchange::leavePrefillQueue()
{
    if (this->queueTicket)
        this->gateway.prefillQueue.remove(*std::exchange(this->queueTicket, std::nullopt));
}

void Exchange::takeTurn()
{
    auto &prefillQueue = this->gateway.prefillQueue;
    const bool isCharged = std::exchange(this->hasTakenTurn, true);
    if (!this->queueTicket && !isCharged && this->config->accounts &&
        !this->properties.model.empty())
        this->queueTicket = prefillQueue.enqueue(this->properties.model, this->priority(),
                                                 this->prefillMs(), this->fairShare());
    if (this->queueTicket)
        prefillQueue.serve(*std::exchange(this->queueTicket, std::nullopt));
}

std::optional<PrefillQueue::FairShare> Exchange::fairShare() const
{
    if (!this->config->accounts)
        return std::nullopt;
    return PrefillQueue::FairShare{this->account == nullptr ? 0 : this->account->digest,
                                   this->arrived, this->route->latencyGoal / 2};
}

double Exchange::prefillMs() const
{
    return this->gateway.dispatcher.prefillTimes().msPerToken(this->properties.model) *
           this->properties.promptTokens;
}

DispatchQuery Exchange::makeQuery() const
{
    DispatchQuery query;
    query.service = this->service;
    query.model = this->properties.model;
    query.adapter = this->properties.adapter;
    query.promptTokens = this->properties.promptTokens;
    query.softwareVersion = this->streamVersion;
    query.tried = this->triedUpstreams;
    query.tried.insert(this->crowdedUpstreams.begin(), this->crowdedUpstreams.end());
    if (!this->leftUpstream.empty())
        query.tried.insert(this->leftUpstream);
    // The last part is excluded because it belongs to this request alone.
    for (size_t i = 0; i + 1 < this->properties.promptParts.size(); ++i) {
        query.sharedPrefixKey = this->properties.promptParts[i].id;
        query.sharedPrefixTokens += this->properties.promptParts[i].tokens;
        query.sharedParts.push_back(this->properties.promptParts[i]);
    }
    return query;
}

int Exchange::priority() const
{
    const int relaxedPenalty = this->route->latencyGoal >= RelaxedGoalThreshold ? 1 : 0;
    // A stream that resumes is served earlier: its caller has already waited and been served in
    // part.
    const int resumed = this->hasStreamBegun || this->isContinuation() ? FirstRankPriority : 0;
    const int rank = this->account != nullptr ? this->account->rank.value_or(this->route->rank)
                                              : this->route->rank;
    return std::clamp(FirstRankPriority + 2 * rank + relaxedPenalty - resumed, 0, 9);
}

bool Exchange::isShutdownDue(Instant now) const
{
    const auto &schedule = this->gateway.shutdownSchedule;
    return this->hasStreamBegun ? schedule.isDrainOver(now) : schedule.isAnswerDue(now);
}

bool Exchange::tryConsumeRetry(const AttemptResult &result, Instant now)
{
    if (this->isCallerGone || this->isPastDeadline(now) || this->sendCount >= MaxSendsPerRequest ||
        this->isShutdownDue(now))
        return false;
    // The upstream received nothing, so the attempt does not count against the retry allowance.
    if (result.outcome == AttemptOutcome::Unreachable)
        return true;
    if (result.mayHaveRun() && (!this->route->isRepeatable() ||
                                this->executions.possibleExecutions() >= this->route->maxAttempts))
        return false;
    if (this->hasStreamBegun && (!this->eventSplitter.canContinue() || this->isStreamVersionLost))
        return false;
    return this->gateway.retryBudgetOf(this->service)
        .tryConsume(this->gateway.countGateways(), now);
}

asio::awaitable<bool> Exchange::ensureAdapterLoaded(DispatchTarget target)
{
    const auto &entries = this->gateway.directory.entries();
    const auto found = entries.find(target.upstreamId);
    if (found == entries.end())
        co_return false;
    proto::Datagram datagram;
    auto *adapterRequest = datagram.mutable_adapter_wish();
    adapterRequest->set_upstream_id(target.upstreamId);
    adapterRequest->set_model(this->properties.model);
    adapterRequest->set_adapter(this->properties.adapter);
    const Address steward = this->gateway.stewardAddress(found->second);
    // The request is sent even if the adapter is loaded: stewards keep the most recently requested
    // adapters.
    this->gateway.datagrams.send(steward, datagram);
    if (!target.needsAdapter)
        co_return true;
    this->phase = ExchangePhase::LoadingAdapter;
    const Instant limit = std::min(this->deadline, clockNow() + AdapterLoadTimeout);
    Instant resendAt = clockNow() + AdapterResendInterval;
    while (!this->isCallerGone) {
        const Instant now = clockNow();
        if (this->isShutdownDue(now))
            co_return false;
        if (this->gateway.dispatcher.holds(target.upstreamId, this->properties.model,
                                           this->properties.adapter, now))
            co_return true;
        if (now >= limit)
            co_return false;
        if (now >= resendAt) {
            this->gateway.datagrams.send(steward, datagram);
            resendAt = now + AdapterResendInterval;
        }
        const Duration wait = std::min(limit, resendAt) - now;
        co_await this->gateway.snapshotArrived.waitFor(wait);
    }
    co_return false;
}

asio::awaitable<Exchange::AttemptResult> Exchange::attempt(DispatchTarget target)
{
    const Instant began = clockNow();
    this->phase = ExchangePhase::AwaitingResponse;
    auto &dispatcher = this->gateway.dispatcher;
    this->lastUpstream = target.upstreamId;
    this->lastSnapshotAge = target.snapshotAge;
    this->lastCostMs = target.costMs;
    this->sentAt = began;
    this->firstByteAt.reset();
    this->hasSoundAnswer = false;
    if (this->admission)
        this->admission->noteSent(began);
    this->executions.beginAttempt(target.upstreamId);
    if (this->sendCount++ == 0)
        this->gateway.retryBudgetOf(this->service).noteFirstAttempt(began);
    const auto &entries = this->gateway.directory.entries();
    const auto entry = entries.find(target.upstreamId);
    const uint64_t startedAtMs = entry == entries.end() ? 0 : entry->second.startedAtMs;
    this->attemptStartedAtMs = startedAtMs;
    this->attemptVersion = entry == entries.end() ? "" : entry->second.softwareVersion;
    this->isAttemptContinuation = this->isContinuation();
    this->continuationWaitBeganAt.reset();
    this->eventGaps = {};
    this->hasEventOfAttempt = false;
    this->hasRecordedPause = false;
    this->tokensAhead =
        dispatcher.promptTokensAhead(target.upstreamId, this->properties.promptTokens, began);
    this->lastSlowness = dispatcher.slowness(target.upstreamId, began);
    const AttemptTicket ticket =
        dispatcher.beginAttempt(target.upstreamId, this->makeQuery(), began);
    if (!this->properties.model.empty())
        this->gateway.prefillQueue.noteSent(this->properties.model, began);

    ForwardOptions forwardOptions;
    forwardOptions.timeLeft = this->deadline - began;
    forwardOptions.upstreamId = target.upstreamId;
    forwardOptions.priority = this->priority();
    forwardOptions.hasAccounts = this->config->accounts != nullptr;
    if (this->account != nullptr)
        forwardOptions.account = this->account->name;
    if (this->hasStreamBegun)
        forwardOptions.resumeAfterEventId = this->eventSplitter.lastEventId();
    HttpRequest message = this->gateway.codec.makeUpstreamRequest(this->request, forwardOptions);
    this->attemptCancel = std::make_shared<HttpCancel>();
    HttpCallOptions options;
    options.cancel = this->attemptCancel;
    options.connectTimeout = ConnectTimeout;
    options.maxIdle =
        this->route->isRepeatable() ? MaxIdleTimeIdempotent : MaxIdleTimeNonIdempotent;
    // The answer to a request without an id cannot be told from a late one to another request.
    if (this->properties.requestId.empty())
        options.exclusive = true;
    else
        options.callDigest = hash64(this->properties.requestId);
    options.matchesCall = [this](int status, const HttpHeaders &headers, const ConnectionUse &use) {
        return this->matchesAttempt(status, headers, use);
    };
    auto opened = co_await this->gateway.client.open(target.address, std::move(message),
                                                     forwardOptions.timeLeft, options);
    AttemptResult result;
    if (!isOk(opened)) {
        const auto kind = error(opened).kind;
        result.reason = error(opened).message;
        if (kind == ErrorKind::UpstreamUnreachable || kind == ErrorKind::BadRequest)
            result.evidence = NotExecutedEvidence::NotSent;
        if (kind == ErrorKind::UpstreamUnreachable) {
            const auto listed = entries.find(target.upstreamId);
            if (!this->attemptCancel->isCancelled() && listed != entries.end())
                this->gateway.suspectExchange.probe(listed->second);
        }
        // The upstream has no part in a request that cannot be written.
        result.outcome = kind == ErrorKind::UpstreamUnreachable ? AttemptOutcome::Unreachable
                         : kind == ErrorKind::Timeout           ? AttemptOutcome::TimedOut
                         : kind == ErrorKind::BadRequest        ? AttemptOutcome::Abandoned
                                                                : AttemptOutcome::Broken;
    } else {
        this->phase = ExchangePhase::RelayingResponse;
        dispatcher.noteFirstAnswer(target.upstreamId, ticket);
        this->gateway.capacityChanged.notifyAll();
        this->firstByteAt = clockNow();
        this->recordPrefillTime(*this->firstByteAt - began);
        if (!this->properties.model.empty())
            this->gateway.prefillQueue.noteFirstAnswer(
                this->properties.model, *this->firstByteAt - began, *this->firstByteAt);
        const auto stream = std::move(value(opened));
        result = co_await this->handleResponse(target.upstreamId, startedAtMs, *stream);
        this->recordStreamEnd(clockNow());
        // An answer without events shows only at its end that the prompt was prefilled.
        if (result.isSound && !this->hasEventOfAttempt)
            dispatcher.notePrefilled(target.upstreamId, startedAtMs, this->makeQuery(), clockNow());
    }
    if (this->isCallerGone)
        result.outcome = AttemptOutcome::Abandoned;
    this->executions.endAttempt(result.evidence, result.evidenceSource);
    dispatcher.endAttempt(target.upstreamId, ticket, result.outcome, clockNow());
    this->gateway.capacityChanged.notifyAll();
    if (!result.isFinal && !this->isCallerGone)
        logDecision(LogPriority::Notable, clockNow(),
                    fmt::format("event=attempt_failed id={} upstream={} outcome={} may_have_run={} "
                                "evidence={} source={} reason={:?} after_ms={}",
                                LogText{this->properties.requestId}, LogText{target.upstreamId},
                                enumName(result.outcome), result.mayHaveRun(),
                                enumName(result.evidence), result.evidenceSource, result.reason,
                                toMs(clockNow() - began)));
    co_return result;
}

bool Exchange::matchesAttempt(int status, const HttpHeaders &headers,
                              const ConnectionUse &use) const
{
    // An answer without an id that arrives on a reused connection may be a repeated answer to an
    // earlier request.
    const auto id = this->gateway.codec.decodeResponse(status, headers).requestId;
    if (id == this->properties.requestId || (id.empty() && !use.isReused()))
        return true;
    this->gateway.metrics.counter("tray_gateway_unrelated_answers_total").add();
    logDecision(LogPriority::Notable, clockNow(),
                fmt::format("event=unrelated_answer id={} upstream={} status={} answer_id={} "
                            "connection={}",
                            LogText{this->properties.requestId}, LogText{this->lastUpstream},
                            status, LogText{id}, describe(use)));
    return false;
}

void Exchange::recordPrefillTime(Duration timeToFirstResponse)
{
    if (this->properties.promptParts.empty() || this->hasStreamBegun || this->isContinuation())
        return;
    // Only the last part is counted, since the shared parts may already be in the engine's memory.
    const uint32_t ownTokens = this->properties.promptParts.back().tokens;
    this->gateway.dispatcher.prefillTimes().addSample(
        this->properties.model, ownTokens,
        std::chrono::duration<double, std::milli>(timeToFirstResponse).count());
}

void Exchange::recordEvents(Duration waited, bool wasCallerSlow, Instant now)
{
    auto &dispatcher = this->gateway.dispatcher;
    if (std::exchange(this->hasEventOfAttempt, true)) {
        if (wasCallerSlow)
            return;
        this->eventGaps.add(waited);
        if (this->admission)
            this->admission->noteGap(waited);
        const double pause = this->timesAcceptedPause(waited);
        if (pause >= NotablePauseRatio && !this->properties.model.empty()) {
            this->hasRecordedPause = true;
            dispatcher.notePause(this->lastUpstream, this->attemptStartedAtMs, pause, now);
        }
        return;
    }
    if (this->properties.model.empty())
        return;
    dispatcher.notePrefilled(this->lastUpstream, this->attemptStartedAtMs, this->makeQuery(), now);
    // An engine that continues a stream also prefills what was sent of it.
    if (this->isAttemptContinuation)
        return;
    FirstEventSample sample;
    sample.model = this->properties.model;
    sample.promptTokens = this->properties.promptTokens;
    sample.ownTokens = this->properties.promptParts.empty()
                           ? this->properties.promptTokens
                           : this->properties.promptParts.back().tokens;
    sample.tokensAhead = this->tokensAhead;
    sample.elapsedMs = std::chrono::duration<double, std::milli>(now - this->sentAt).count();
    dispatcher.noteFirstEvent(this->lastUpstream, this->attemptStartedAtMs, sample, now);
}

void Exchange::recordStreamEnd(Instant now)
{
    if (this->properties.model.empty() || this->eventGaps.size() == 0)
        return;
    auto &dispatcher = this->gateway.dispatcher;
    if (const auto median = this->eventGaps.median())
        dispatcher.noteMedianGap(this->lastUpstream, this->attemptStartedAtMs,
                                 this->properties.model,
                                 std::chrono::duration<double, std::milli>(*median).count(), now);
    if (!this->hasRecordedPause)
        dispatcher.notePause(this->lastUpstream, this->attemptStartedAtMs,
                             this->timesAcceptedPause(this->eventGaps.longest()), now);
}

double Exchange::timesAcceptedPause(Duration pause) const
{
    return std::chrono::duration<double>(pause) / std::chrono::duration<double>(std::max<Duration>(
                                                      this->route->eventGapGoal, milliseconds(1)));
}

} // namespace tray
