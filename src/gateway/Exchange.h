// One request of a caller, from its arrival to its final response. Chooses an upstream, waits for
// capacity, for the model or for the adapter, sends the attempts, retries and relays the response.
// Relies on the dispatcher for the choice of upstreams and on the codec for the headers.
#pragma once

#include "base/EnumNames.h"
#include "gateway/Admission.h"
#include "gateway/EventGaps.h"
#include "gateway/EventSplitter.h"
#include "gateway/ExecutionLedger.h"
#include "gateway/Gateway.h"
#include "observe/DecisionLog.h"

namespace tray {

/// What a request is currently waiting for.
enum class ExchangePhase : uint8_t {
    ChoosingUpstream,
    Queued,
    LoadingModel,
    LoadingAdapter,
    AwaitingResponse,
    RelayingResponse
};

template <>
struct EnumNames<ExchangePhase>
{
    static constexpr auto Table = std::to_array<EnumName<ExchangePhase>>({
        {ExchangePhase::ChoosingUpstream, "choosing"},
        {ExchangePhase::Queued, "room"},
        {ExchangePhase::LoadingModel, "load"},
        {ExchangePhase::LoadingAdapter, "adapter"},
        {ExchangePhase::AwaitingResponse, "first_answer"},
        {ExchangePhase::RelayingResponse, "rest"},
    });
};

/// Serves one request; exists as long as the coroutine that serves it. Each request gets exactly
/// one final response: an upstream's response, passed on unchanged, or an error response of the
/// gateway that states correctly whether the request may have been executed.
class Exchange
{
public:
    Exchange(Gateway &gateway, HttpRequest request, HttpResponder &responder, Instant arrived);

    ~Exchange();

    /// Serves the request until its final response has been sent or the caller has disconnected.
    boost::asio::awaitable<void> run();
    /// Whether an upstream's answer has begun to arrive or was passed on in part.
    bool isAnswerArriving() const
    {
        return this->hasStreamBegun || this->phase == ExchangePhase::RelayingResponse;
    }
    /// Median gap between the events that the present attempt's upstream has sent; not set if there
    /// were too few.
    std::optional<Duration> medianEventGap() const { return this->eventGaps.median(); }
    /// Longest gap between these events; zero without any.
    Duration longestEventGap() const { return this->eventGaps.longest(); }
    /// Records that an upstream has restarted, which may be the one that answers.
    void handleUpstreamRestart(const std::string &upstreamId, Instant now);
    /// Logs the request as unanswered and cancels its current attempt, because the shutdown
    /// deadline has passed. A wait for capacity or for a snapshot ends when the gateway wakes the
    /// waiters.
    void abortForShutdown(Instant now);

private:
    /// Maximum time between two checks for capacity. The notification of free capacity may be lost
    /// with the upstream of an attempt.
    static constexpr Duration QueueRecheckInterval = milliseconds(100);

    /// Result of an attempt, from which the next step of the request is decided.
    struct AttemptResult
    {
        AttemptOutcome outcome = AttemptOutcome::Answered;
        /// Whether the request needs no further step: its final response was sent or its stream was
        /// aborted.
        bool isFinal = false;
        /// How it is known that the upstream did not execute the request, and the source of that
        /// knowledge for the log.
        NotExecutedEvidence evidence = NotExecutedEvidence::None;
        std::string evidenceSource;
        /// Whether the complete, successful answer of an upstream has been passed on.
        bool isSound = false;
        /// The upstream's error response, which the caller gets if no later attempt succeeds.
        std::optional<HttpResponse> upstreamError;
        std::string reason;

        bool mayHaveRun() const { return this->evidence == NotExecutedEvidence::None; }
    };

    /// Sends attempts until one of them is final or no further attempt is allowed.
    boost::asio::awaitable<void> dispatchWithRetries();
    /// Finds the client account of the request. Returns false if the request needs one and has
    /// none.
    bool identifyAccount();
    /// Whether the request needs credit of its account's quota.
    bool needsQuota() const { return this->account != nullptr && this->account->quota.isLimited(); }
    /// Gets credit of the account's quota for the request. Returns false if the request has been
    /// refused.
    boost::asio::awaitable<bool> acquireQuota();
    /// Finds out which software version must continue the stream that the caller takes up again.
    /// Returns false if that cannot be known; the request has then been refused.
    boost::asio::awaitable<bool> resolveStreamVersion();
    /// Records the software version of the upstream whose first event is about to be passed on.
    /// Returns false if the events that are about to be passed on may be of another version than
    /// the earlier ones.
    bool bindStream(Instant now);
    /// Tells what began the stream, to be looked up when its caller takes it up again; an empty
    /// version means that no upstream can continue it.
    void recordOrigin(const std::string &softwareVersion, Instant now);
    /// Returns the software version of the upstream that answers the present attempt, or nothing if
    /// the upstream has restarted with another version since the attempt began.
    std::optional<std::string> findAnsweringVersion() const;
    /// Whether the caller holds events of the stream, from this response or an earlier attempt.
    bool isContinuation() const { return this->streamVersion.has_value(); }
    /// Waits once for a change of capacity. Returns false if the predicted time to the first
    /// response exceeds the limit or leaves too little time before the shutdown deadline. The
    /// request has then been refused; but if mayHaveRun is set, no response was sent and the
    /// outcome of the earlier attempt determines it.
    boost::asio::awaitable<bool> waitInPrefillQueue(DispatchWait wait, bool mayHaveRun);
    void logWait(const DispatchRefusal &refusal, Instant now);
    /// Records what an upstream asks for in an answer.
    void noteDirectives(const std::string &upstreamId, uint64_t startedAtMs,
                        const ResponseProperties &answer, int status);
    Duration timeUntilCallerTimeout(Instant now) const;
    /// Time until the request is refused if no upstream can take it: until the latency limit or, if
    /// the caller holds a part of the stream, for as long as an upstream that can continue it may
    /// take to come back.
    Duration timeUntilRefusal(Instant now) const;
    /// Time until the latency goal of the route or the expected timeout of the caller, whichever is
    /// earlier.
    Duration timeUntilLatencyLimit(Instant now) const;
    boost::asio::awaitable<AttemptResult> attempt(DispatchTarget target);
    /// Whether an answer belongs to the present attempt; logs one that does not.
    bool matchesAttempt(int status, const HttpHeaders &headers, const ConnectionUse &use) const;
    boost::asio::awaitable<AttemptResult> handleResponse(std::string upstreamId,
                                                         uint64_t startedAtMs, HttpStream &stream);
    boost::asio::awaitable<AttemptResult> relayEventStream(HttpStream &stream, bool mayBeEmpty);
    /// Returns why the bytes of the present run are no whole or partial stream, or an empty text. A
    /// stream without any event is whole only if its framing says so.
    std::string_view findStreamFault(bool ended, bool canEndEmpty) const;
    boost::asio::awaitable<AttemptResult> relayBufferedResponse(HttpStream &stream, bool success);
    boost::asio::awaitable<bool> ensureAdapterLoaded(DispatchTarget target);
    /// Result of a wait for the admission at an engine.
    enum class AdmissionStep : uint8_t {
        Granted,
        /// The upstream is to be chosen again.
        ChooseAgain,
        /// The wait would last longer than the shutdown allows.
        Stopping
    };
    /// Asks the steward beside an engine until the request may be sent to it. Notes on the request
    /// follow as long as this->admission is set.
    boost::asio::awaitable<AdmissionStep> awaitAdmission(DispatchTarget target);
    AdmissionQuery makeAdmissionQuery(const DispatchTarget &target, const UpstreamEntry &entry,
                                      Instant now) const;
    /// Sends the final response of a request that no engine would admit in time.
    boost::asio::awaitable<void> refuseUnadmitted();
    /// Logs and sends an error response, of an upstream or of the gateway, as the final response.
    /// All of them pass here: one that would state that the request was not executed is replaced
    /// unless there is evidence of that, or executing the request again does no harm.
    boost::asio::awaitable<void> finishWithResponse(HttpResponse response, std::string outcome,
                                                    std::string reason);
    /// Sends an error response of the gateway as the final response, or aborts the stream if the
    /// response has begun.
    boost::asio::awaitable<void> finishWithError(ErrorKind kind, std::string reason,
                                                 std::optional<Duration> retryAfter = std::nullopt);
    /// Ends the request after its last attempt failed.
    boost::asio::awaitable<void> finishAfterFailedAttempts(AttemptResult result);
    /// Aborts a stream that cannot be continued, so that the caller does not mistake the part that
    /// it has received for the complete response.
    void abortStream(const std::string &reason);
    /// Sends the final response of a request that was not executed and that another instance can
    /// serve while this one shuts down.
    boost::asio::awaitable<void> refuseForShutdown(std::string reason);

    /// Records what the end of an attempt says about the request as a suspect.
    void recordForSuspects(const AttemptResult &result, const std::string &upstreamId);
    /// Records that the prompt's parts have crashed no upstream once the answer has been arriving
    /// for long enough.
    void recordAnswerProgress(Instant now);
    /// Records how long the complete answer has taken.
    void recordResponseDuration(Instant now);
    /// Passes the gates of all suspects of a request that must run alone. Returns false if another
    /// request runs or the request is refused by now.
    bool enterSuspectGates(Instant now);
    void leaveSuspectGates() { this->suspectPasses.clear(); }
    /// Waits until it is known whether the upstream of a broken attempt has ended, so that the next
    /// attempt is decided with that knowledge.
    boost::asio::awaitable<void> awaitCrashVerdict(std::string upstreamId);
    /// Ids of the first parts of the prompt, for the log, without the last part, which belongs to
    /// this request or its session.
    std::string describeSharedParts() const;
    DispatchQuery makeQuery() const;
    void recordDemand();
    void leavePrefillQueue();
    /// Leaves the prefill queue because an upstream was chosen, and charges the client account for
    /// the prompt.
    void takeTurn();
    /// The request's share among the client accounts; empty if the configuration has none.
    std::optional<PrefillQueue::FairShare> fairShare() const;
    double prefillMs() const;
    void recordPrefillTime(Duration timeToFirstResponse);
    /// Records the arrival of complete events after this wait for the upstream. A gap in which the
    /// caller kept this instance from reading does not count.
    void recordEvents(Duration waited, bool wasCallerSlow, Instant now);
    /// Records the gaps of the present attempt's stream at its end.
    void recordStreamEnd(Instant now);
    /// A pause as a multiple of the pause that the route accepts.
    double timesAcceptedPause(Duration pause) const;
    bool tryConsumeRetry(const AttemptResult &result, Instant now);
    bool isPastDeadline(Instant now) const { return now >= this->deadline; }
    /// Whether the shutdown leaves the request no more time.
    bool isShutdownDue(Instant now) const;
    /// Priority of the request; lower values are served first.
    int priority() const;
    void log(int status, const std::string &outcome, const std::string &reason) const;
    LogPriority logPriority(int status, bool isServed) const;

    Gateway &gateway;
    const HttpRequest request;
    HttpResponder &responder;
    const Instant arrived;
    const std::shared_ptr<std::set<Exchange *>> activeExchanges;

    // The configuration that was in force when the request arrived applies until the request ends.
    std::shared_ptr<const FleetConfig> config;
    const Route *route = nullptr;
    // The client account of the request, which the configuration owns; null if there is none.
    const ClientAccount *account = nullptr;
    // Credit for the request; empty if its account has no limit.
    std::optional<QuotaLease> quota;
    RequestProperties properties;
    std::string service;
    Instant deadline{};
    // What identifies the request over all attempts of its caller, and in part other requests.
    SuspectIdentity suspectIdentity;
    // Gates of suspects that this request has passed in the present attempt.
    std::vector<SuspectGate::Pass> suspectPasses;
    Instant sentAt{};
    // Whether the present attempt has shown that upstreams can answer the prompt's parts.
    bool hasSoundAnswer = false;
    // Software version of the upstreams that may send further events of the stream. Not set until
    // the caller holds an event, which it does from the start if it takes up a stream.
    std::optional<std::string> streamVersion;
    // The upstream may have changed its software version while it answered, so that the version of
    // the events is not known and no other upstream may add to them.
    bool isStreamVersionLost = false;
    // Software version and start time of the upstream in the instance list as the present attempt
    // began.
    std::string attemptVersion;
    uint64_t attemptStartedAtMs = 0;
    // Whether the stream was a continuation as the present attempt began.
    bool isAttemptContinuation = false;
    // Time from which the request waits for an upstream that can continue its stream.
    std::optional<Instant> continuationWaitBeganAt;
    std::set<std::string> triedUpstreams;
    // Admission at the engine of the present attempt; null if its steward was not asked.
    std::unique_ptr<Admission> admission;
    // Engines that would not admit the next attempt in time, and the shortest wait that one of them
    // expected, if any told one.
    std::set<std::string> crowdedUpstreams;
    // Whether the request has left the queue of an engine for another one, which it does once for
    // each attempt, and that engine as long as others are asked.
    bool hasLeftQueue = false;
    std::string leftUpstream;
    std::optional<Duration> shortestAdmissionWait;
    // Total wait for admissions; not set if no steward was asked.
    std::optional<Duration> admissionTime;
    // Memory of the body of the present attempt's response.
    MemoryBudget::Share responseMemory;
    ExecutionLedger executions;
    // Number of attempts of any outcome, including those whose adapter could not be loaded.
    int sendCount = 0;
    std::shared_ptr<HttpCancel> attemptCancel;
    bool isCallerGone = false;
    ExchangePhase phase = ExchangePhase::ChoosingUpstream;
    // Position in the prefill queue; set while the request waits for engines to finish the prefill
    // of other prompts.
    std::optional<PrefillQueue::Ticket> queueTicket;
    // Whether the client account was charged for the prompt.
    bool hasTakenTurn = false;
    // Whether the request has waited for an engine to load its model, or for an upstream that took
    // no requests.
    bool hasWaited = false;
    // Whether the head of the response was sent; only events of the same stream may follow.
    bool hasStreamBegun = false;
    // Time at which the last complete event of the stream, or its head, was passed on to the
    // caller.
    Instant lastEventAt{};
    EventSplitter eventSplitter;
    std::string lastUpstream;
    // Age of the snapshot that the last attempt was based on; negative if there was none.
    Duration lastSnapshotAge{-1};
    // Estimated cost of the last attempt at its dispatch, in ms.
    double lastCostMs = 0;
    std::optional<Instant> firstByteAt;
    // Gaps between the events of the present attempt, without the waits for the caller.
    EventGaps eventGaps;
    bool hasEventOfAttempt = false;
    // Whether a pause of the present attempt was recorded when it ended.
    bool hasRecordedPause = false;
    // Prompt tokens that the engine may have had to prefill before, as the present attempt began.
    uint64_t tokensAhead = 0;
    // Time that work took at the engine, as a multiple of the fastest ones, as the last attempt
    // began.
    double lastSlowness = 1;
    // Longest wait for a read from the upstream's stream.
    Duration longestReadWait{};
};

} // namespace tray
