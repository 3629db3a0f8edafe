// One request of a caller: claim, attempts, answer.
#pragma once

#include "base/EnumNames.h"
#include "entry/AttemptDriver.h"
#include "entry/CallerAnswer.h"
#include "entry/CallerRequest.h"
#include "entry/OpenExchanges.h"
#include "entry/SuspectGate.h"
#include "routing/RequestMachine.h"
#include "routing/RetryBudget.h"
#include "routing/Router.h"

namespace tray {

/// What all exchanges of a process share.
struct EntryServices
{
    StatePort &state;
    ClaimPort &claims;
    Router &router;
    RetryBudget &budget;
    ChannelPool &pool;
    AttemptDriver &driver;
    SuspectGate &suspects;
    OpenExchanges &exchanges;
    EntryMetrics &metrics;
    std::string region;
    size_t bufferLimit = 4u << 20;
    /// Time after the deadline in which an admitted request may still be answered, at most the
    /// tier's deadline once more.
    Duration lateAnswer = std::chrono::seconds(30);
};

/// What a request waits for. Settle: the caller has its answer, and its claim is being settled.
enum class ExchangePhase : uint8_t { Claim, Upstream, CrashCount, Answer, Settle };

template <>
struct EnumNames<ExchangePhase>
{
    static constexpr auto Table = std::to_array<EnumName<ExchangePhase>>({
        {ExchangePhase::Claim, "claim"},
        {ExchangePhase::Upstream, "upstream"},
        {ExchangePhase::CrashCount, "crash_count"},
        {ExchangePhase::Answer, "answer"},
        {ExchangePhase::Settle, "settle"},
    });
};

/// Runs one request to its final answer.
class Exchange
{
public:
    /// Interval at which the claim of an unfinished request is asked for again.
    static constexpr Duration ClaimPoll = milliseconds(250);
    /// Longest wait for the answer of a request with the same idempotency key. The first request
    /// may be lost with its entry instance, so a longer one is answered with Retry-After.
    static constexpr Duration ClaimWait = std::chrono::seconds(1);
    /// Wait after a crash before the request is tried again, so that the report reaches the other
    /// entry instances first; over the region link it takes 30 ms and a few hops.
    static constexpr Duration CrashSpread = milliseconds(150);

    Exchange(EntryServices &services, CallerRequest request, HttpResponder &responder);

    boost::asio::awaitable<void> run();

private:
    enum class End : uint8_t { Answered, Failed, Aborted };

    /// A call for a claim, which goes on if its request stops to wait for it.
    struct ClaimCall;

    /// Ends the wait of a request that a stop leaves no more time.
    void endForStop();
    boost::asio::awaitable<void> runClaimed();
    /// No reply if the stop's time is over first; a claim that is granted later is released.
    boost::asio::awaitable<std::optional<proto::ClaimReply>> beginClaim(std::string claimId);
    static boost::asio::awaitable<void> callClaims(std::shared_ptr<ClaimCall> call);
    boost::asio::awaitable<std::optional<proto::ClaimReply>> awaitClaim(std::string claimId);
    boost::asio::awaitable<void> settleClaim(std::string claimId, End end);
    boost::asio::awaitable<void> replay(proto::ClaimRecord record);
    /// Dispatches until there is an answer or none can be had; sends the answer or the error.
    boost::asio::awaitable<End> dispatch();
    boost::asio::awaitable<RequestStep> attempt(RouteChoice choice, bool isSuspect);
    boost::asio::awaitable<void> awaitCrashCount();
    boost::asio::awaitable<End> answer();
    boost::asio::awaitable<End> fail(Error error, Ran ran);
    boost::asio::awaitable<End> failForStop();
    std::optional<RouteChoice> route(Instant now);
    proto::Frame makeFrame(uint32_t attemptNumber, bool isSuspect, Instant now) const;
    void noteOutcome(const RouteChoice &choice, const AttemptOutcome &outcome, Instant sentAt);
    void countDemand(bool isRefused, bool isMissed);

    EntryServices &services;
    CallerRequest request;
    HttpResponder &responder;
    const std::string requestId;
    RequestMachine machine;
    CallerAnswer callerAnswer;
    // Upstreams that were tried and are not to be tried again.
    std::vector<std::string> excluded;
    AttemptJob job;
    ExchangePhase phase = ExchangePhase::Claim;
    // The stop's time is over: no wait and no attempt begins any more.
    bool stopOver = false;
    // Set while the request waits for a claim.
    std::shared_ptr<ClaimCall> claimCall;
};

} // namespace tray
