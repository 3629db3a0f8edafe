// One request of a caller, from its arrival to its final response. Chooses an upstream, waits for
// capacity, for the model or for the adapter, sends the attempts, retries and relays the response.
// Relies on the dispatcher for the choice of upstreams and on the codec for the headers.
#pragma once

#include "base/EnumNames.h"
#include "gateway/EventSplitter.h"
#include "gateway/Gateway.h"

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

    /// Serves the request until its final response has been sent or the caller has left.
    boost::asio::awaitable<void> run();
    /// Logs the request as unanswered and cancels its current attempt, because the shutdown leaves
    /// no more time. A wait for capacity or for a snapshot ends when the gateway wakes the waiters.
    void abortForShutdown(Instant now);

private:
    /// Result of an attempt, from which the next step of the request is decided.
    struct AttemptResult
    {
        AttemptOutcome outcome = AttemptOutcome::Answered;
        /// Whether the request needs no further step: its final response was sent or its stream was
        /// aborted.
        bool isFinal = false;
        /// Whether the upstream may have executed the request.
        bool mayHaveRun = false;
        /// The upstream's error response, which the caller gets if no later attempt succeeds.
        std::optional<HttpResponse> upstreamError;
        std::string reason;
    };

    /// Sends attempts until one of them is final or no further attempt is allowed.
    boost::asio::awaitable<void> dispatchWithRetries();
    /// Waits once for a change of capacity. Returns false if further waiting is futile; the request
    /// has then been refused, unless an earlier attempt may have been executed, whose outcome
    /// determines the final response.
    boost::asio::awaitable<bool> waitInPrefillQueue(DispatchWait wait, bool mayHaveRun);
    void logWaitForLoad(Duration readyIn, Instant now);
    Duration timeUntilCallerTimeout(Instant now) const;
    Duration timeLeftInGoal(Instant now) const;
    boost::asio::awaitable<AttemptResult> attempt(DispatchTarget target);
    boost::asio::awaitable<AttemptResult> handleResponse(std::string upstreamId,
                                                         HttpStream &stream);
    boost::asio::awaitable<AttemptResult> relayEventStream(HttpStream &stream);
    boost::asio::awaitable<AttemptResult> relayBufferedResponse(HttpStream &stream, bool success);
    boost::asio::awaitable<bool> ensureAdapterLoaded(DispatchTarget target);
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

    DispatchQuery makeQuery() const;
    void recordDemand();
    void leavePrefillQueue();
    void recordPrefillTime(Duration firstAnswer);
    bool tryConsumeRetry(const AttemptResult &result, Instant now);
    bool isPastDeadline(Instant now) const { return now >= this->deadline; }
    int urgency() const;
    void log(int status, const std::string &outcome, const std::string &reason) const;

    Gateway &gateway;
    const HttpRequest request;
    HttpResponder &responder;
    const Instant arrived;
    const std::shared_ptr<std::set<Exchange *>> activeExchanges;

    // The configuration that was in force when the request arrived applies until the request ends.
    std::shared_ptr<const FleetConfig> config;
    const Route *route = nullptr;
    RequestFacts facts;
    std::string service;
    Instant deadline{};
    std::set<std::string> triedUpstreams;
    // Number of attempts that the upstream may have executed, and number of attempts of any
    // outcome.
    int possibleExecutions = 0;
    int sendCount = 0;
    std::shared_ptr<HttpCancel> attemptCancel;
    bool isCallerGone = false;
    ExchangePhase phase = ExchangePhase::ChoosingUpstream;
    // Set while the request is queued until an engine has read other prompts.
    std::optional<PrefillQueue::Ticket> queueTicket;
    // Whether the request has waited for an engine to load its model.
    bool hasWaitedForLoad = false;
    // Whether the head of the response was sent; only events of the same stream may follow.
    bool hasStreamBegun = false;
    // Time at which the last complete event of the stream, or its head, was passed on to the
    // caller.
    Instant lastEventAt{};
    EventSplitter eventSplitter;
    std::string lastUpstream;
    Duration lastSnapshotAge{-1};
    double lastCost = 0;
    std::optional<Instant> firstByteAt;
    // Longest time between two pieces of the stream.
    Duration longestStreamPause{};
};

} // namespace tray
