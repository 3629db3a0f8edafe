// Implements the claim, the attempts with their retries, and the final answer of a request.
#include "entry/EntryExchange.h"

#include "base/Hash.h"
#include "entry/ErrorReply.h"
#include "net/Pause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

namespace tray {

namespace {

namespace asio = boost::asio;

std::mt19937_64 &threadRandom()
{
    thread_local std::mt19937_64 random(newNonce());
    return random;
}

AnswerMode answerModeFor(const CallerRequest &request, const EntryServices &services)
{
    return {request.call.stream, !request.idempotencyKey.empty(), services.bufferLimit};
}

} // namespace

struct EntryExchange::ClaimCall
{
    ClaimPort &claims;
    std::string clientAccount;
    std::string idempotencyKey;
    uint64_t digest;
    std::string claimId;
    Instant deadline;
    // Never expires; cancelled when there is a reply, the call fails, or the drain of a shutdown is
    // over.
    asio::steady_timer waitTimer;
    std::optional<proto::ClaimReply> reply;
    std::exception_ptr failure;
    bool isAbandoned = false;
};

EntryExchange::EntryExchange(EntryServices &services, CallerRequest given, HttpResponder &responder)
    : services(services), request(std::move(given)), responder(responder), requestId(newIdentity()),
      machine(this->request.idempotent),
      callerAnswer(responder, answerModeFor(this->request, services))
{}

asio::awaitable<void> EntryExchange::run()
{
    const auto now = clockNow();
    const auto executor = co_await asio::this_coro::executor;
    const OpenExchanges::Registration registration(this->services.exchanges, executor,
                                                   [this] { this->endForShutdown(); });
    this->drainOver = this->services.exchanges.isEnded();
    this->services.metrics.requests.add();
    this->services.retryBudget.noteRequest(now);
    if (this->request.idempotencyKey.empty()) {
        co_await this->dispatch();
    } else {
        co_await this->runWithClaim();
    }
    this->phase = EntryExchangePhase::Settle;
    co_await this->services.driver.release(this->job);
}

void EntryExchange::endForShutdown()
{
    const auto now = clockNow();
    spdlog::warn("event={} id={} account={} name={} phase={} begun={} attempts={} claimed={} "
                 "age_ms={} deadline_left_ms={}",
                 this->phase == EntryExchangePhase::Settle ? "unsettled" : "unanswered",
                 toHex(this->requestId), this->request.clientAccount,
                 this->request.model != nullptr ? this->request.call.model : this->request.service,
                 enumName(this->phase), this->callerAnswer.isStarted(),
                 this->machine.attemptCount(), !this->request.idempotencyKey.empty(),
                 toMs(now - this->request.arrivedAt), toMs(this->request.deadline - now));
    this->drainOver = true;
    this->job.shuttingDown = true;
    if (this->claimCall)
        this->claimCall->waitTimer.cancel();
}

asio::awaitable<void> EntryExchange::runWithClaim()
{
    const std::string claimId = newIdentity();
    const std::optional<proto::ClaimReply> claim = co_await this->claimWithRetries(claimId);
    if (!claim) {
        co_await this->failForShutdown();
        co_return;
    }
    const proto::ClaimReply &reply = *claim;
    Error failure;
    switch (reply.verdict()) {
    case proto::CLAIM_VERDICT_GRANTED: {
        const auto end = co_await this->dispatch();
        this->phase = EntryExchangePhase::Settle;
        co_await this->settleClaim(claimId, end);
        co_return;
    }
    case proto::CLAIM_VERDICT_FINISHED:
        co_await this->replay(reply.record());
        co_return;
    case proto::CLAIM_VERDICT_IN_PROGRESS:
        failure = {ErrorKind::InProgress, "a request with this idempotency key has not finished"};
        break;
    case proto::CLAIM_VERDICT_BODY_DIFFERS:
        failure = {ErrorKind::IdempotencyConflict,
                   "this idempotency key was used with another request"};
        break;
    default:
        failure = {ErrorKind::PlatformUnavailable, "the request cannot be claimed now"};
        break;
    }
    const auto ran = errorAnswer(failure.kind).ran;
    co_await this->fail(std::move(failure), ran);
}

asio::awaitable<std::optional<proto::ClaimReply>>
EntryExchange::claimWithRetries(std::string claimId)
{
    const Instant limit = std::min(clockNow() + MaxClaimWait, this->request.deadline);
    std::optional<proto::ClaimReply> last;
    while (true) {
        auto reply = co_await this->claimOnce(claimId);
        if (!reply)
            co_return last;
        if (reply->verdict() != proto::CLAIM_VERDICT_IN_PROGRESS ||
            clockNow() + ClaimPollInterval >= limit || this->responder.isPeerGone() ||
            this->drainOver)
            co_return reply;
        last = std::move(reply);
        co_await pauseFor(ClaimPollInterval);
    }
}

asio::awaitable<std::optional<proto::ClaimReply>> EntryExchange::claimOnce(std::string claimId)
{
    if (this->drainOver)
        co_return std::nullopt;
    const auto executor = co_await asio::this_coro::executor;
    auto call = std::make_shared<ClaimCall>(ClaimCall{this->services.claims,
                                                      this->request.clientAccount,
                                                      this->request.idempotencyKey,
                                                      this->request.claimDigest,
                                                      std::move(claimId),
                                                      this->request.deadline,
                                                      asio::steady_timer(executor, Instant::max()),
                                                      {},
                                                      {},
                                                      false});
    this->claimCall = call;
    // The call runs on the same strand, so no reply can arrive between the check and the wait.
    asio::co_spawn(executor, runClaimCall(call), [call](const std::exception_ptr &failure) {
        call->failure = failure;
        call->waitTimer.cancel();
    });
    while (!call->reply && !call->failure && !this->drainOver)
        co_await call->waitTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    this->claimCall.reset();
    if (call->failure)
        std::rethrow_exception(call->failure);
    call->isAbandoned = !call->reply;
    co_return std::move(call->reply);
}

asio::awaitable<void> EntryExchange::runClaimCall(std::shared_ptr<ClaimCall> call)
{
    proto::ClaimReply reply = co_await call->claims.begin(
        call->clientAccount, call->idempotencyKey, call->digest, call->claimId, call->deadline);
    const bool isGranted = reply.verdict() == proto::CLAIM_VERDICT_GRANTED;
    call->reply = std::move(reply);
    call->waitTimer.cancel();
    // The exchange has stopped waiting and answered its request without running it.
    if (call->isAbandoned && isGranted)
        co_await call->claims.release(call->clientAccount, call->idempotencyKey, call->claimId);
}

asio::awaitable<void> EntryExchange::settleClaim(std::string claimId, End end)
{
    auto &claims = this->services.claims;
    if (end == End::Answered && this->callerAnswer.hasCopy()) {
        auto copy = this->callerAnswer.takeCopy();
        co_await claims.finish(this->request.clientAccount, this->request.idempotencyKey, claimId,
                               this->callerAnswer.status(), this->callerAnswer.contentType(),
                               std::move(copy));
    } else if (end == End::Failed && this->machine.ran() == Ran::No) {
        co_await claims.release(this->request.clientAccount, this->request.idempotencyKey, claimId);
    }
}

asio::awaitable<void> EntryExchange::replay(proto::ClaimRecord record)
{
    if (record.answer_dropped()) {
        Error expired{ErrorKind::AnswerExpired, "the request ran; its answer is no longer kept"};
        co_await this->fail(std::move(expired), Ran::Yes);
        co_return;
    }
    this->services.metrics.replayedAnswers.add();
    auto response = makeResponse(static_cast<int>(record.status()), record.content_type(),
                                 std::move(*record.mutable_answer()));
    response.headers.emplace_back("Idempotent-Replayed", "true");
    const auto now = clockNow();
    co_await this->responder.respond(std::move(response));
    this->services.metrics.countAnswer(this->request.tierName, now <= this->request.deadline,
                                       now - this->request.arrivedAt);
}

asio::awaitable<EntryExchange::End> EntryExchange::dispatch()
{
    while (true) {
        if (this->drainOver)
            co_return co_await this->failForShutdown();
        const auto now = clockNow();
        const auto crashes = this->services.statePort.crashCount(this->request.contentDigest, now);
        if (crashes >= 2) {
            Error refused{ErrorKind::SuspectRefused,
                          "this request has crashed two upstreams and is not run again"};
            co_return co_await this->fail(std::move(refused), this->machine.ran());
        }
        if (now >= this->request.deadline) {
            Error late{ErrorKind::Timeout, "the deadline of the tier has passed"};
            co_return co_await this->fail(std::move(late), this->machine.ran());
        }
        const bool isSuspect = crashes == 1;
        if (isSuspect && !this->services.suspectGate.tryEnter(this->request.contentDigest)) {
            Error duplicate{ErrorKind::Overloaded,
                            "the same request runs already and is suspected of a crash"};
            co_return co_await this->fail(std::move(duplicate), this->machine.ran());
        }
        auto choice = this->route(now);
        RequestStep step = RequestStep::Fail;
        if (choice)
            step = co_await this->runAttempt(std::move(*choice), isSuspect);
        if (isSuspect)
            this->services.suspectGate.leave(this->request.contentDigest);
        if (step == RequestStep::Answer)
            co_return co_await this->finishAnswer();
        if (step == RequestStep::Retry)
            continue;
        if (step == RequestStep::Abort) {
            this->services.metrics.abortedStreams.add();
            this->services.metrics.countError(this->request.tierName, ErrorKind::StreamBroken);
            this->countDemand(false, true);
            this->responder.abort();
            co_return End::Aborted;
        }
        Error failure = this->machine.failure();
        // The error of the last attempt may be wrong about the attempts before it.
        if (this->drainOver && errorAnswer(failure.kind).retryable)
            co_return co_await this->failForShutdown();
        if (this->machine.attemptCount() == 0)
            failure = {ErrorKind::NoReplica, "no upstream can take the request now"};
        co_return co_await this->fail(std::move(failure), this->machine.ran());
    }
}

std::optional<RouteChoice> EntryExchange::route(Instant now)
{
    RouteTarget target;
    target.pool = this->request.pool;
    if (this->request.model != nullptr) {
        target.model = this->request.call.model;
        target.adapter = this->request.call.adapter;
        target.version = this->request.model->version();
    } else {
        target.service = this->request.service;
    }
    RouteQuery query;
    query.tierRank = this->request.tier->rank();
    query.remaining = this->request.deadline - now;
    query.promptTokens = this->request.call.promptTokens;
    query.maxTokens = this->request.call.maxTokens;
    query.prefixDigests = this->request.call.prefixDigests;
    query.prefixTokens = this->request.call.prefixTokens;
    query.preferredRegion = this->request.preferredRegion;
    // About four bytes for each token, and the framing of a stream around each.
    query.bytes = this->request.http.body.size() + uint64_t{query.maxTokens} * 4;
    return this->services.router.choose(target, query, this->services.statePort.routeSources(),
                                        this->excluded, now, threadRandom());
}

asio::awaitable<RequestStep> EntryExchange::runAttempt(RouteChoice choice, bool isSuspect)
{
    const auto sentAt = clockNow();
    const auto lateTime = std::min<Duration>(this->services.lateAnswerTime,
                                             milliseconds(this->request.tier->deadline_ms()));
    this->job = AttemptJob{};
    this->job.frame = this->makeFrame(this->machine.beginAttempt(), isSuspect, sentAt);
    this->job.view = choice.view;
    this->job.agentEpoch = choice.status->epoch();
    this->job.timeoutAt = this->request.deadline + lateTime;
    auto address = parseAddress(choice.status->data_address());
    AttemptVerdict outcome;
    this->phase = EntryExchangePhase::Upstream;
    choice.view->noteSent(this->request.call.prefixDigests);
    if (this->machine.attemptCount() == 1)
        this->services.metrics.routeTime.add(sentAt - this->request.arrivedAt);
    this->services.metrics.attempts.add();
    if (isOk(address)) {
        this->job.address = value(address);
        outcome = co_await this->services.driver.run(this->job, this->callerAnswer);
    } else {
        outcome.end = AttemptEnd::NotRun;
        outcome.kind = ErrorKind::UpstreamUnreachable;
        outcome.message = error(address).message;
    }
    this->noteOutcome(choice, outcome, sentAt);
    if (outcome.engineLost)
        co_await this->awaitCrashCount();
    const auto now = clockNow();
    RetryContext retryContext;
    retryContext.answerStarted = this->callerAnswer.isStarted();
    retryContext.withinDeadline = now < this->request.deadline;
    if (!retryContext.answerStarted && retryContext.withinDeadline && !this->drainOver &&
        this->machine.mayRetry(outcome)) {
        retryContext.budgetAllows = this->services.retryBudget.tryConsume(now);
        (retryContext.budgetAllows ? this->services.metrics.retries
                                   : this->services.metrics.retriesDenied)
            .add();
    }
    const auto step = this->machine.onOutcome(outcome, retryContext);
    if (step == RequestStep::Retry) {
        co_await this->services.driver.release(this->job);
        this->callerAnswer.reset();
    }
    co_return step;
}

void EntryExchange::noteOutcome(const RouteChoice &choice, const AttemptVerdict &outcome,
                                Instant sentAt)
{
    const auto now = clockNow();
    const bool isComplete = outcome.end == AttemptEnd::Complete;
    choice.view->noteEnded(isComplete ? now - sentAt : Duration::zero());
    if (outcome.kind == ErrorKind::Draining)
        choice.view->noteDraining(now);
    if (outcome.engineLost)
        this->services.statePort.reportCrash(this->request.contentDigest, choice.view->name(), now);
    if (choice.status->region() != this->services.region)
        this->services.metrics.linkBytes.add(this->request.http.body.size() +
                                             this->job.answerBytes);
    // An agent that never received the attempt can be sent it again under the next attempt number.
    if (!isComplete && outcome.kind != ErrorKind::NeverSeen)
        this->excluded.push_back(choice.view->name());
}

asio::awaitable<void> EntryExchange::awaitCrashCount()
{
    const auto limit = std::min(clockNow() + std::chrono::seconds(1), this->request.deadline);
    this->phase = EntryExchangePhase::CrashCount;
    co_await pauseFor(std::min(CrashReportDelay, limit - clockNow()));
    while (clockNow() < limit && !this->drainOver &&
           this->services.statePort.crashCount(this->request.contentDigest, clockNow()) == 0)
        co_await pauseFor(milliseconds(10));
}

proto::Frame EntryExchange::makeFrame(uint32_t attemptNumber, bool isSuspect, Instant now) const
{
    proto::Frame frame;
    frame.set_request_id(this->requestId);
    frame.set_attempt_number(attemptNumber);
    frame.set_head_version(this->request.catalogue->headVersion());
    auto &attempt = *frame.mutable_attempt();
    attempt.set_client_account(this->request.clientAccount);
    attempt.set_tier_rank(this->request.tier->rank());
    const auto remaining = toMs(this->request.deadline - now);
    attempt.set_remaining_ms(static_cast<uint32_t>(std::max<int64_t>(remaining, 1)));
    attempt.set_model(this->request.call.model);
    attempt.set_adapter(this->request.call.adapter);
    attempt.set_service(this->request.service);
    attempt.set_method(this->request.http.method);
    attempt.set_target(this->request.http.target);
    for (const auto &[name, text] : forwardedHeaders(this->request.http.headers)) {
        auto &header = *attempt.add_headers();
        header.set_name(name);
        header.set_value(text);
    }
    attempt.set_body(this->request.http.body);
    attempt.set_stream(this->request.call.stream);
    attempt.set_idempotent(this->request.idempotent);
    attempt.set_prompt_tokens(this->request.call.promptTokens);
    attempt.set_max_tokens(this->request.call.maxTokens);
    attempt.set_content_digest(this->request.contentDigest);
    attempt.set_suspect(isSuspect);
    for (const uint64_t digest : this->request.call.prefixDigests)
        attempt.add_prefix_digests(digest);
    return frame;
}

asio::awaitable<EntryExchange::End> EntryExchange::finishAnswer()
{
    this->phase = EntryExchangePhase::Answer;
    const bool isDelivered = co_await this->callerAnswer.complete();
    const auto now = clockNow();
    const bool inTime = now <= this->request.deadline;
    if (isDelivered)
        this->services.metrics.countAnswer(this->request.tierName, inTime,
                                           now - this->request.arrivedAt);
    else
        this->services.metrics.countError(this->request.tierName, ErrorKind::Cancelled);
    this->countDemand(false, !inTime);
    co_return End::Answered;
}

asio::awaitable<EntryExchange::End> EntryExchange::fail(Error error, Ran ran)
{
    this->phase = EntryExchangePhase::Answer;
    this->services.metrics.countError(this->request.tierName, error.kind);
    this->countDemand(ran == Ran::No, true);
    HttpResponse response = errorReply(error, ran);
    co_await this->responder.respond(std::move(response));
    co_return End::Failed;
}

asio::awaitable<EntryExchange::End> EntryExchange::failForShutdown()
{
    Error stopped{ErrorKind::Draining, "this instance stops; the request did not run"};
    if (this->machine.ran() != Ran::No)
        stopped = {ErrorKind::OutcomeUnknown, "this instance stops; the request may have run"};
    co_return co_await this->fail(std::move(stopped), this->machine.ran());
}

void EntryExchange::countDemand(bool isRefused, bool isMissed)
{
    proto::Demand demand;
    demand.set_requests(1);
    demand.set_tokens(this->request.call.promptTokens + this->request.call.maxTokens);
    demand.set_refused(isRefused ? 1 : 0);
    demand.set_missed(isMissed ? 1 : 0);
    demand.set_region(this->services.region);
    demand.set_name(this->request.model != nullptr ? this->request.call.model
                                                   : this->request.service);
    this->services.statePort.addDemand(demand);
    if (!this->request.call.adapter.empty()) {
        demand.set_name(this->request.call.adapter);
        this->services.statePort.addDemand(demand);
    }
}

} // namespace tray
