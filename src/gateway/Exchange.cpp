// Attempts, retries and answers of one request.
#include "gateway/Exchange.h"

#include "base/Hash.h"
#include "observe/DecisionLog.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Sends of one request, the refused ones included.
constexpr int MaxSends = 4;
// Time to establish a connection: a round trip between regions with one lost packet.
constexpr Duration ConnectTimeout = milliseconds(1300);
// Oldest idle connection that is used for requests that must not be repeated; the chance that the
// upstream has just closed it grows with its age.
constexpr Duration UnsafeIdle = milliseconds(700);
constexpr Duration SafeIdle = std::chrono::seconds(8);
// An adapter's load with its orders, and the time after which a wish may have been lost.
constexpr Duration AdapterTimeout = milliseconds(350);
constexpr Duration AdapterRepeat = milliseconds(90);
// Largest body of an answer that is not a stream of events.
constexpr size_t MaxAnswerBytes = 8u << 20;
// Pause before callers return after a refusal for want of room.
constexpr Duration FullRetry = milliseconds(500);
// Longest time between two looks for room; word of it may be lost with an attempt's upstream.
constexpr Duration RoomRecheck = milliseconds(100);
// Callers give up a stream without a first event after this time: a constant, or so many times its
// goal or its longest pause, whichever is longest; a little less than what they announce.
constexpr Duration ShortestPatience = milliseconds(1800);
constexpr int PatienceGoals = 3;
constexpr int PatiencePauses = 7;
// Work of an output token in a full batch, in prompt tokens.
constexpr double OutputTokenWork = 1.5;
// Requests with a longer goal give way to others of their rank.
constexpr Duration PatientGoal = std::chrono::seconds(5);
constexpr int UrgencyOfFirstRank = 2;

} // namespace

Exchange::Exchange(Gateway &gateway, HttpRequest request, HttpResponder &responder, Instant arrived)
    : gateway(gateway), request(std::move(request)), responder(responder), arrived(arrived),
      siblings(gateway.exchanges), config(gateway.config)
{
    this->siblings->insert(this);
}

asio::awaitable<void> Exchange::run()
{
    auto decoded = this->gateway.codec.decode(this->request);
    if (!isOk(decoded)) {
        co_await this->refuse(ErrorKind::BadRequest, error(decoded).message);
        co_return;
    }
    this->facts = value(std::move(decoded));
    if (!this->config) {
        co_await this->refuse(ErrorKind::PlatformUnavailable, "no configuration is known yet");
        co_return;
    }
    this->route = this->config->findRoute(this->facts.host, pathOf(this->request.target));
    if (this->route == nullptr) {
        co_await this->refuse(ErrorKind::NotFound, "no route for this host and path");
        co_return;
    }
    const Duration patience = this->facts.patience.value_or(this->route->timeout);
    this->deadline = this->arrived + std::min(patience, this->route->timeout);
    this->responder.setDeadline(this->deadline);
    this->service = chooseService(*this->route, hash64(this->facts.id));
    this->responder.onPeerGone([this] {
        this->callerGone = true;
        if (this->cancel)
            this->cancel->cancel();
        this->gateway.snapshotArrived.raise();
        this->gateway.roomChanged.raise();
    });
    if (!this->facts.model.empty())
        this->noteDemand();
    co_await this->serveRoute();
}

void Exchange::noteDemand()
{
    const double tokens =
        this->facts.promptTokens + OutputTokenWork * this->facts.expectedOutputTokens;
    const double workMs = tokens * this->gateway.dispatcher.paces().msPerToken(this->facts.model);
    this->gateway.demand.note(this->facts.model, this->facts.promptTokens,
                              this->facts.expectedOutputTokens, workMs, this->arrived);
}

asio::awaitable<void> Exchange::serveRoute()
{
    AttemptResult last;
    last.reason = "no upstream was tried";
    while (!this->callerGone) {
        // A busy loop hears of the caller's end only after it has sent the request.
        if (this->responder.isPeerGone()) {
            this->callerGone = true;
            break;
        }
        if (this->deadlinePassed(clockNow())) {
            last.reason = "the deadline passed";
            break;
        }
        if (this->gateway.stopWindow.isOver(clockNow())) {
            last.reason = "the instance stops";
            break;
        }
        this->phase = ExchangePhase::Choosing;
        const DispatchQuery query = this->makeQuery();
        const Dispatch choice = this->gateway.dispatcher.choose(query, clockNow());
        if (const auto *refusal = std::get_if<DispatchRefusal>(&choice)) {
            // What was tried may have run, or answered; otherwise nothing ran, and this is why.
            if (this->runs > 0 || last.failure || this->streaming)
                break;
            if (last.outcome == AttemptOutcome::Full)
                break;
            // The answer will be on time although the model is still being loaded.
            const Instant now = clockNow();
            const bool isOnTime = refusal->readyIn && *refusal->readyIn <= this->timeInGoal(now);
            if (isOnTime &&
                !this->gateway.stopWindow.fits(this->route->name, *refusal->readyIn, now)) {
                co_await this->refuseForStop(
                    fmt::format("the model is ready in {} ms", toMs(*refusal->readyIn)));
                co_return;
            }
            if (isOnTime) {
                this->phase = ExchangePhase::Load;
                this->noteWaitForLoad(*refusal->readyIn, now);
                co_await this->gateway.roomChanged.wait(RoomRecheck, this->urgency());
                continue;
            }
            this->gateway.demand.noteRefused(this->facts.model, clockNow());
            co_await this->refuse(refusal->kind, refusal->reason, refusal->retryAfter);
            co_return;
        }
        if (const auto *wait = std::get_if<DispatchWait>(&choice)) {
            // What was tried may have run, or answered, which decides the final answer.
            const bool mayHaveRun = !this->streaming && (this->runs > 0 || last.failure);
            const bool worthwhile = co_await this->waitForRoom(*wait, mayHaveRun);
            if (worthwhile)
                continue;
            if (mayHaveRun)
                break;
            co_return;
        }
        this->leaveRoom();
        const auto target = std::get<DispatchTarget>(choice);
        const bool isUnserved = this->runs == 0 && !last.failure && !this->streaming;
        // The cost is no time: it holds what counts against an upstream in a comparison.
        if (isUnserved &&
            !this->gateway.stopWindow.fits(this->route->name, Duration::zero(), clockNow())) {
            co_await this->refuseForStop("the answer is not expected to be whole in time");
            co_return;
        }
        this->gateway.noteUse(target.upstreamId);
        if (!this->facts.adapter.empty()) {
            const bool ready = co_await this->ensureAdapter(target);
            if (!ready) {
                this->tried.insert(target.upstreamId);
                last.reason = "the adapter could not be loaded";
                if (++this->sends >= MaxSends)
                    break;
                continue;
            }
        }
        last = co_await this->attempt(target);
        if (last.done)
            co_return;
        this->tried.insert(target.upstreamId);
        if (!this->mayTryAgain(last, clockNow()))
            break;
    }
    if (this->callerGone) {
        this->log(0, "caller_left", last.reason);
        co_return;
    }
    co_await this->refuseFailed(std::move(last));
}

void Exchange::noteWaitForLoad(Duration readyIn, Instant now)
{
    if (!std::exchange(this->waitedForLoad, true))
        logDecision(LogWeight::Routine, now,
                    fmt::format("event=wait_for_load id={} model={} ready_in_ms={} goal_left_ms={}",
                                this->facts.id, this->facts.model, toMs(readyIn),
                                toMs(this->timeInGoal(now))));
}

Duration Exchange::callerPatience(Instant now) const
{
    const Duration byGoal = std::max<Duration>({ShortestPatience, PatienceGoals * this->route->goal,
                                                PatiencePauses * this->route->gapGoal});
    const Instant since = this->streaming ? this->lastEventAt : this->arrived;
    return std::min(since + byGoal, this->deadline) - now;
}

Duration Exchange::timeInGoal(Instant now) const
{
    return std::min<Duration>(this->arrived + this->route->goal - now, this->callerPatience(now));
}

asio::awaitable<bool> Exchange::waitForRoom(DispatchWait wait, bool mayHaveRun)
{
    const Instant now = clockNow();
    auto &room = this->gateway.room;
    const double readMs =
        this->gateway.dispatcher.paces().msPerToken(this->facts.model) * this->facts.promptTokens;
    const WaitingRoom::Engines engines{wait.cost + readMs, wait.candidates};
    // Whoever waits already, and a stream that goes on, is let go only if the caller would leave
    // first: the goal of a stream's first event says nothing of its next ones.
    const bool isNew = !this->placeInRoom;
    const Duration predicted = isNew
                                   ? room.predict(this->facts.model, this->urgency(), engines, now)
                                   : room.predict(*this->placeInRoom, engines, now);
    const Duration limit =
        isNew && !this->streaming ? this->timeInGoal(now) : this->callerPatience(now);
    if (predicted > limit) {
        this->leaveRoom();
        if (mayHaveRun)
            co_return false;
        co_await this->refuse(ErrorKind::Overloaded,
                              fmt::format("{} prompts wait; predicted {} ms, limit {} ms",
                                          room.size(), toMs(predicted), toMs(limit)),
                              predicted - limit / 2);
        co_return false;
    }
    if (!this->gateway.stopWindow.fits(this->route->name, predicted, now)) {
        this->leaveRoom();
        if (mayHaveRun)
            co_return false;
        co_await this->refuseForStop(fmt::format("predicted {} ms", toMs(predicted)));
        co_return false;
    }
    if (isNew)
        this->placeInRoom = room.enter(this->facts.model, this->urgency(), readMs);
    this->phase = ExchangePhase::Room;
    const Duration recheck = std::min<Duration>(this->deadline - now, RoomRecheck);
    co_await this->gateway.roomChanged.wait(recheck, this->urgency());
    co_return true;
}

Exchange::~Exchange()
{
    this->leaveRoom();
    this->siblings->erase(this);
}

void Exchange::leaveRoom()
{
    if (this->placeInRoom)
        this->gateway.room.leave(*std::exchange(this->placeInRoom, std::nullopt));
}

DispatchQuery Exchange::makeQuery() const
{
    DispatchQuery query;
    query.service = this->service;
    query.model = this->facts.model;
    query.adapter = this->facts.adapter;
    query.promptTokens = this->facts.promptTokens;
    query.tried = this->tried;
    // All parts but the last, which belongs to the request itself.
    for (size_t i = 0; i + 1 < this->facts.parts.size(); ++i) {
        query.sharedParts = this->facts.parts[i].id;
        query.sharedTokens += this->facts.parts[i].tokens;
    }
    return query;
}

int Exchange::urgency() const
{
    const int patient = this->route->goal >= PatientGoal ? 1 : 0;
    // The caller of a stream that goes on has waited and been served in part already.
    const int resumed = this->streaming ? UrgencyOfFirstRank : 0;
    return std::clamp(UrgencyOfFirstRank + 2 * this->route->rank + patient - resumed, 0, 9);
}

bool Exchange::mayTryAgain(const AttemptResult &result, Instant now)
{
    if (this->callerGone || this->deadlinePassed(now) || this->sends >= MaxSends ||
        this->gateway.stopWindow.isOver(now))
        return false;
    // Nothing arrived at the upstream.
    if (result.outcome == AttemptOutcome::Unreachable)
        return true;
    if (result.mayHaveRun &&
        (!this->route->isRepeatable() || this->runs >= this->route->maxAttempts))
        return false;
    return this->gateway.allowanceOf(this->service).take(this->gateway.gatewayCount(), now);
}

asio::awaitable<bool> Exchange::ensureAdapter(DispatchTarget target)
{
    const auto &entries = this->gateway.directory.entries();
    const auto found = entries.find(target.upstreamId);
    if (found == entries.end())
        co_return false;
    proto::Datagram datagram;
    auto *wish = datagram.mutable_adapter_wish();
    wish->set_upstream_id(target.upstreamId);
    wish->set_model(this->facts.model);
    wish->set_adapter(this->facts.adapter);
    const Address steward = this->gateway.stewardOf(found->second);
    // Stewards keep the adapters that were wished last.
    this->gateway.datagrams.send(steward, datagram);
    if (!target.needsAdapter)
        co_return true;
    this->phase = ExchangePhase::Adapter;
    const Instant limit = std::min(this->deadline, clockNow() + AdapterTimeout);
    Instant repeatAt = clockNow() + AdapterRepeat;
    while (!this->callerGone) {
        const Instant now = clockNow();
        if (this->gateway.stopWindow.isOver(now))
            co_return false;
        if (this->gateway.dispatcher.holds(target.upstreamId, this->facts.model,
                                           this->facts.adapter, now))
            co_return true;
        if (now >= limit)
            co_return false;
        if (now >= repeatAt) {
            this->gateway.datagrams.send(steward, datagram);
            repeatAt = now + AdapterRepeat;
        }
        const Duration wait = std::min(limit, repeatAt) - now;
        co_await this->gateway.snapshotArrived.wait(wait);
    }
    co_return false;
}

asio::awaitable<Exchange::AttemptResult> Exchange::attempt(DispatchTarget target)
{
    const Instant began = clockNow();
    this->phase = ExchangePhase::FirstAnswer;
    auto &dispatcher = this->gateway.dispatcher;
    this->lastUpstream = target.upstreamId;
    this->lastSnapshotAge = target.snapshotAge;
    this->lastCost = target.cost;
    ++this->runs;
    if (this->sends++ == 0)
        this->gateway.allowanceOf(this->service).noteFirst(began);
    const AttemptTicket ticket = dispatcher.begin(target.upstreamId, this->makeQuery(), began);
    if (!this->facts.model.empty())
        this->gateway.room.sent(this->facts.model, began);

    Forwarding forwarding;
    forwarding.timeLeft = this->deadline - began;
    forwarding.upstreamId = target.upstreamId;
    forwarding.urgency = this->urgency();
    if (this->streaming)
        forwarding.resumeAfter = this->events.lastId();
    HttpRequest message = this->gateway.codec.forward(this->request, forwarding);
    this->cancel = std::make_shared<HttpCancel>();
    HttpCallOptions options;
    options.cancel = this->cancel;
    options.connectTimeout = ConnectTimeout;
    options.maxIdle = this->route->isRepeatable() ? SafeIdle : UnsafeIdle;
    options.isOurs = [this](const HttpHeaders &headers) {
        const auto id = this->gateway.codec.inspect(0, headers).requestId;
        return id.empty() || id == this->facts.id;
    };
    auto opened = co_await this->gateway.client.open(target.address, std::move(message),
                                                     forwarding.timeLeft, options);
    AttemptResult result;
    if (!isOk(opened)) {
        const auto kind = error(opened).kind;
        result.reason = error(opened).message;
        result.mayHaveRun = kind != ErrorKind::UpstreamUnreachable;
        result.outcome = kind == ErrorKind::UpstreamUnreachable ? AttemptOutcome::Unreachable
                         : kind == ErrorKind::Timeout           ? AttemptOutcome::Silent
                                                                : AttemptOutcome::Broken;
    } else {
        this->phase = ExchangePhase::Rest;
        dispatcher.firstAnswer(target.upstreamId, ticket);
        this->gateway.roomChanged.raise();
        this->firstAnswerAt = clockNow();
        this->notePace(*this->firstAnswerAt - began);
        if (!this->facts.model.empty())
            this->gateway.room.answered(this->facts.model, *this->firstAnswerAt - began,
                                        *this->firstAnswerAt);
        const auto stream = std::move(value(opened));
        result = co_await this->takeAnswer(target.upstreamId, *stream);
    }
    if (this->callerGone)
        result.outcome = AttemptOutcome::Abandoned;
    if (!result.mayHaveRun)
        --this->runs;
    dispatcher.end(target.upstreamId, ticket, result.outcome, clockNow());
    this->gateway.roomChanged.raise();
    if (!result.done && !this->callerGone)
        logDecision(LogWeight::Notable, clockNow(),
                    fmt::format("event=attempt_failed id={} upstream={} outcome={} may_have_run={} "
                                "reason=\"{}\" after_ms={}",
                                this->facts.id, target.upstreamId, enumName(result.outcome),
                                result.mayHaveRun, result.reason, toMs(clockNow() - began)));
    co_return result;
}

void Exchange::notePace(Duration firstAnswer)
{
    if (this->facts.parts.empty() || this->streaming)
        return;
    // Shared parts may lie in the engine's memory already.
    const uint32_t ownTokens = this->facts.parts.back().tokens;
    this->gateway.dispatcher.paces().note(
        this->facts.model, ownTokens,
        std::chrono::duration<double, std::milli>(firstAnswer).count());
}

asio::awaitable<Exchange::AttemptResult> Exchange::takeAnswer(std::string upstreamId,
                                                              HttpStream &stream)
{
    const AnswerFacts answer = this->gateway.codec.inspect(stream.status(), stream.headers());
    if (answer.load)
        this->gateway.dispatcher.noteLoad(upstreamId, answer.load->running, answer.load->waiting,
                                          clockNow());
    AttemptResult result;
    if (answer.notRun) {
        result.outcome = answer.misdirected ? AttemptOutcome::Misdirected : AttemptOutcome::Full;
        result.reason = fmt::format("refused with {}", stream.status());
        if (answer.misdirected &&
            this->gateway.dispatcher.noteMissing(upstreamId, this->facts.model, this->facts.adapter,
                                                 clockNow()))
            logDecision(LogWeight::Notable, clockNow(),
                        fmt::format("event=holdings_refuted id={} upstream={} model={} adapter={}",
                                    this->facts.id, upstreamId, this->facts.model,
                                    this->facts.adapter));
        // Reads the rest so that the connection can be used again.
        const Duration patience = std::min<Duration>(FullRetry, this->deadline - clockNow());
        const auto rest = co_await stream.read(patience);
        co_return result;
    }
    result.mayHaveRun = true;
    const bool success = stream.status() / 100 == 2;
    const bool genuine = answer.sealed && !answer.encoded && answer.requestId == this->facts.id;
    if (answer.encoded || (success && !genuine)) {
        result.outcome = AttemptOutcome::Broken;
        result.reason = "the answer is not the upstream's own";
        co_return result;
    }
    if (success && this->route->kind == RouteKind::Streaming)
        result = co_await this->relayEvents(stream);
    else
        result = co_await this->relayWhole(stream, success);
    co_return result;
}

asio::awaitable<Exchange::AttemptResult> Exchange::relayEvents(HttpStream &stream)
{
    AttemptResult result;
    result.mayHaveRun = true;
    if (!this->streaming) {
        HttpHeaders headers = this->gateway.codec.answerHeaders(stream.headers());
        this->streaming = true;
        this->lastEventAt = clockNow();
        if (!co_await this->responder.start(stream.status(), std::move(headers)))
            this->callerGone = true;
    }
    this->events.dropRest();
    while (!this->callerGone) {
        const Instant waitedSince = clockNow();
        // A read alone does not end while the upstream has bytes ready.
        if (this->deadlinePassed(waitedSince)) {
            result.outcome = AttemptOutcome::Silent;
            result.reason = "the deadline passed";
            co_return result;
        }
        auto piece = co_await stream.read(this->deadline - waitedSince);
        this->longestPause = std::max(this->longestPause, clockNow() - waitedSince);
        if (!isOk(piece)) {
            result.outcome =
                this->deadlinePassed(clockNow()) ? AttemptOutcome::Silent : AttemptOutcome::Broken;
            result.reason = error(piece).message;
            co_return result;
        }
        const bool ended = value(piece).empty();
        std::string whole = ended ? this->events.takeRest() : this->events.feed(value(piece));
        if (this->events.isOverfull()) {
            this->events.dropRest();
            result.outcome = AttemptOutcome::Broken;
            result.reason = "an event does not end";
            co_return result;
        }
        if (!whole.empty())
            this->lastEventAt = clockNow();
        if (!whole.empty() && !co_await this->responder.write(std::move(whole))) {
            this->callerGone = true;
            result.reason = "the caller left or did not read in time";
        }
        if (ended && !this->callerGone) {
            co_await this->responder.finish();
            if (this->firstAnswerAt)
                this->gateway.stopWindow.noteRest(this->route->name,
                                                  clockNow() - *this->firstAnswerAt);
            result.done = true;
            this->log(stream.status(), "served", "");
            co_return result;
        }
    }
    co_return result;
}

asio::awaitable<Exchange::AttemptResult> Exchange::relayWhole(HttpStream &stream, bool success)
{
    AttemptResult result;
    result.mayHaveRun = true;
    HttpResponse response;
    response.status = stream.status();
    response.headers = this->gateway.codec.answerHeaders(stream.headers());
    while (true) {
        auto piece = co_await stream.read(this->deadline - clockNow());
        if (!isOk(piece)) {
            result.outcome =
                this->deadlinePassed(clockNow()) ? AttemptOutcome::Silent : AttemptOutcome::Broken;
            result.reason = error(piece).message;
            co_return result;
        }
        if (value(piece).empty())
            break;
        response.body += value(piece);
        if (response.body.size() > MaxAnswerBytes) {
            result.outcome = AttemptOutcome::Broken;
            result.reason = "the answer is too large";
            co_return result;
        }
    }
    if (!success) {
        result.outcome =
            response.status >= 500 ? AttemptOutcome::ServerError : AttemptOutcome::Answered;
        result.reason = fmt::format("the upstream answered {}", response.status);
        result.failure = std::move(response);
        // A fault of the request itself fails everywhere.
        if (result.outcome == AttemptOutcome::ServerError)
            co_return result;
        response = *result.failure;
    }
    result.done = true;
    if (this->streaming) {
        this->cutStream(result.reason);
        co_return result;
    }
    const int status = response.status;
    co_await this->responder.respond(std::move(response));
    this->log(status, success ? "served" : "upstream_failed", result.reason);
    co_return result;
}

asio::awaitable<void> Exchange::refuseFailed(AttemptResult result)
{
    if (result.failure && !this->streaming) {
        const int status = result.failure->status;
        co_await this->responder.respond(std::move(*result.failure));
        this->log(status, "upstream_failed", result.reason);
        co_return;
    }
    if (this->runs == 0 && this->gateway.stopWindow.isOver(clockNow())) {
        co_await this->refuseForStop(result.reason);
        co_return;
    }
    if (this->runs == 0) {
        // Engines that lack the model have to load it first.
        const bool missing =
            result.outcome == AttemptOutcome::Misdirected && !this->facts.model.empty();
        Duration retryAfter = FullRetry;
        if (missing)
            retryAfter = this->gateway.dispatcher.retryForMissing(this->facts.model, clockNow());
        co_await this->refuse(missing ? ErrorKind::NoReplica : ErrorKind::Overloaded, result.reason,
                              retryAfter);
        co_return;
    }
    co_await this->refuse(result.outcome == AttemptOutcome::Silent ? ErrorKind::Timeout
                                                                   : ErrorKind::OutcomeUnknown,
                          result.reason);
}

asio::awaitable<void> Exchange::refuse(ErrorKind kind, std::string reason,
                                       std::optional<Duration> retryAfter)
{
    if (this->streaming) {
        this->cutStream(reason);
        co_return;
    }
    const auto &answer = errorAnswer(kind);
    if (!retryAfter && answer.retryAfterMs > 0 && answer.ran == Ran::No)
        retryAfter = milliseconds(answer.retryAfterMs);
    this->log(answer.httpStatus, std::string(enumName(kind)), reason);
    std::string type(answer.type);
    HttpResponse response =
        this->gateway.codec.refuse(this->facts.id, answer.httpStatus, type, reason, retryAfter);
    co_await this->responder.respond(std::move(response));
}

void Exchange::cutStream(const std::string &reason)
{
    this->log(0, "stream_cut", reason);
    this->responder.abort();
}

void Exchange::endForStop(Instant now)
{
    logDecision(
        LogWeight::Notable, now,
        fmt::format("event=unanswered id={} route={} model={} phase={} begun={} upstream={} "
                    "sends={} runs={} age_ms={} deadline_left_ms={}",
                    this->facts.id, this->route == nullptr ? "none" : this->route->name,
                    this->facts.model, enumName(this->phase), this->streaming, this->lastUpstream,
                    this->sends, this->runs, toMs(now - this->arrived),
                    toMs(this->deadline - now)));
    if (this->cancel)
        this->cancel->cancel();
}

asio::awaitable<void> Exchange::refuseForStop(std::string reason)
{
    co_await this->refuse(ErrorKind::Draining, "the instance stops: " + reason,
                          StopWindow::ElsewhereRetry);
}

void Exchange::log(int status, const std::string &outcome, const std::string &reason) const
{
    const Instant now = clockNow();
    const bool served = outcome == "served";
    auto &metrics = this->gateway.metrics;
    const std::string routeName = this->route == nullptr ? "none" : this->route->name;
    metrics.counter("tray_gateway_requests_total", "outcome=\"" + outcome + "\"").add();
    if (served && this->firstAnswerAt)
        metrics.histogram("tray_gateway_first_answer_ms").add(*this->firstAnswerAt - this->arrived);
    logDecision(
        served ? LogWeight::Routine : LogWeight::Notable, now,
        fmt::format(
            "event=request id={} route={} model={} adapter={} outcome={} status={} "
            "upstream={} sends={} runs={} config={} snapshot_age_ms={} cost={:.0f} "
            "first_ms={} longest_pause_ms={} ms={} reason=\"{}\"",
            this->facts.id, routeName, this->facts.model, this->facts.adapter, outcome, status,
            this->lastUpstream, this->sends, this->runs, this->config ? this->config->version : 0,
            this->lastSnapshotAge < Duration::zero() ? -1 : toMs(this->lastSnapshotAge),
            this->lastCost, this->firstAnswerAt ? toMs(*this->firstAnswerAt - this->arrived) : -1,
            toMs(this->longestPause), toMs(now - this->arrived), reason));
}

} // namespace tray
