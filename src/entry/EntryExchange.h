// Handles one request of a caller: claims it if it has an idempotency key, dispatches attempts to
// upstreams, and sends the answer or an error.
#pragma once

#include "base/EnumNames.h"
#include "entry/AttemptDriver.h"
#include "entry/CallerAnswer.h"
#include "entry/CallerRequest.h"
#include "entry/OpenExchanges.h"
#include "routing/RequestMachine.h"
#include "routing/RetryBudget.h"
#include "routing/Router.h"
#include "routing/SuspectGate.h"

namespace tray {

/// Dependencies that all exchanges of a process share.
struct EntryServices
{
    StatePort &statePort;
    ClaimPort &claims;
    Router &router;
    RetryBudget &retryBudget;
    ChannelPool &channelPool;
    AttemptDriver &driver;
    SuspectGate &suspectGate;
    OpenExchanges &exchanges;
    EntryMetrics &metrics;
    std::string region;
    /// Size limit of an answer's buffer, in bytes.
    size_t bufferLimit = 4u << 20;
    /// Time after the deadline for which the response to an admitted request is still awaited; at
    /// most the tier's own deadline_ms.
    Duration lateAnswerTime = std::chrono::seconds(30);
};

/// What a request waits for. Settle: the caller has its answer, and the claim is being finished or
/// released.
enum class EntryExchangePhase : uint8_t { Claim, Upstream, CrashCount, Answer, Settle };

template <>
struct EnumNames<EntryExchangePhase>
{
    static constexpr auto Table = std::to_array<EnumName<EntryExchangePhase>>({
        {EntryExchangePhase::Claim, "claim"},
        {EntryExchangePhase::Upstream, "upstream"},
        {EntryExchangePhase::CrashCount, "crash_count"},
        {EntryExchangePhase::Answer, "answer"},
        {EntryExchangePhase::Settle, "settle"},
    });
};

/// Handles one request until its final answer.
class EntryExchange
{
public:
    /// Interval at which a claim that another request holds is requested again.
    static constexpr Duration ClaimPollInterval = milliseconds(250);
    /// Maximum wait for the answer of an earlier request with the same idempotency key. That
    /// request may have been lost with its entry instance, so after this wait the caller gets an
    /// error with Retry-After.
    static constexpr Duration MaxClaimWait = std::chrono::seconds(1);
    /// Delay after a crash before the request is retried, so that the crash report reaches the
    /// other entry instances first. Must exceed the propagation time: 30 ms on the link between
    /// regions plus several relay hops.
    static constexpr Duration CrashReportDelay = milliseconds(150);

    EntryExchange(EntryServices &services, CallerRequest request, HttpResponder &responder);

    boost::asio::awaitable<void> run();

private:
    enum class End : uint8_t { Answered, Failed, Aborted };

    /// A call that requests a claim. It continues if its exchange stops waiting for it.
    struct ClaimCall;

    /// Called when the drain of a shutdown is over. Makes the request get its final answer now.
    void endForShutdown();
    boost::asio::awaitable<void> runWithClaim();
    /// Requests the claim. Returns nothing if the drain of a shutdown is over before the reply; a
    /// claim that is granted later is released.
    boost::asio::awaitable<std::optional<proto::ClaimReply>> claimOnce(std::string claimId);
    static boost::asio::awaitable<void> runClaimCall(std::shared_ptr<ClaimCall> call);
    /// Requests the claim every ClaimPollInterval while another request holds it, for at most
    /// MaxClaimWait.
    boost::asio::awaitable<std::optional<proto::ClaimReply>> claimWithRetries(std::string claimId);
    boost::asio::awaitable<void> settleClaim(std::string claimId, End end);
    boost::asio::awaitable<void> replay(proto::ClaimRecord record);
    /// Dispatches attempts until one has delivered an answer or no further attempt is made, and
    /// sends the answer or an error.
    boost::asio::awaitable<End> dispatch();
    boost::asio::awaitable<RequestStep> runAttempt(RouteChoice choice, bool isSuspect);
    boost::asio::awaitable<void> awaitCrashCount();
    boost::asio::awaitable<End> finishAnswer();
    boost::asio::awaitable<End> fail(Error error, Ran ran);
    boost::asio::awaitable<End> failForShutdown();
    std::optional<RouteChoice> route(Instant now);
    proto::Frame makeFrame(uint32_t attemptNumber, bool isSuspect, Instant now) const;
    void noteOutcome(const RouteChoice &choice, const AttemptVerdict &outcome, Instant sentAt);
    void countDemand(bool isRefused, bool isMissed);

    EntryServices &services;
    CallerRequest request;
    HttpResponder &responder;
    const std::string requestId;
    RequestMachine machine;
    CallerAnswer callerAnswer;
    // Upstreams that earlier attempts were sent to and that are not chosen again.
    std::vector<std::string> excluded;
    AttemptJob job;
    EntryExchangePhase phase = EntryExchangePhase::Claim;
    // The drain of a shutdown is over: no wait and no attempt begins any more.
    bool drainOver = false;
    // Set while the exchange waits for the reply.
    std::shared_ptr<ClaimCall> claimCall;
};

} // namespace tray
