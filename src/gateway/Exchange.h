// One request of a caller, from its arrival to its final answer.
#pragma once

#include "base/EnumNames.h"
#include "gateway/EventSplitter.h"
#include "gateway/Gateway.h"

namespace tray {

/// What a request waits for.
enum class ExchangePhase : uint8_t { Choosing, Room, Load, Adapter, FirstAnswer, Rest };

template <>
struct EnumNames<ExchangePhase>
{
    static constexpr auto Table = std::to_array<EnumName<ExchangePhase>>({
        {ExchangePhase::Choosing, "choosing"},
        {ExchangePhase::Room, "room"},
        {ExchangePhase::Load, "load"},
        {ExchangePhase::Adapter, "adapter"},
        {ExchangePhase::FirstAnswer, "first_answer"},
        {ExchangePhase::Rest, "rest"},
    });
};

/// Lives as long as the coroutine that serves the request. Each request gets one final answer: an
/// upstream's, passed on unchanged, or one of our own that is true about whether the request ran.
class Exchange
{
public:
    Exchange(Gateway &gateway, HttpRequest request, HttpResponder &responder, Instant arrived);

    ~Exchange();

    boost::asio::awaitable<void> run();
    /// Ends the wait or the attempt of a request that a stop leaves no more time.
    void endForStop(Instant now);

private:
    /// What is left to decide after an attempt.
    struct AttemptResult
    {
        AttemptOutcome outcome = AttemptOutcome::Answered;
        /// The caller has its final answer, or has left.
        bool done = false;
        /// An upstream may have executed the request.
        bool mayHaveRun = false;
        /// A failure that the upstream answered, for the caller if nothing better comes.
        std::optional<HttpResponse> failure;
        std::string reason;
    };

    boost::asio::awaitable<void> serveRoute();
    /// False if waiting is of no use; the request has then been refused, unless an earlier attempt
    /// may have run.
    boost::asio::awaitable<bool> waitForRoom(DispatchWait wait, bool mayHaveRun);
    void noteWaitForLoad(Duration readyIn, Instant now);
    Duration callerPatience(Instant now) const;
    Duration timeInGoal(Instant now) const;
    boost::asio::awaitable<AttemptResult> attempt(DispatchTarget target);
    boost::asio::awaitable<AttemptResult> takeAnswer(std::string upstreamId, HttpStream &stream);
    boost::asio::awaitable<AttemptResult> relayEvents(HttpStream &stream);
    boost::asio::awaitable<AttemptResult> relayWhole(HttpStream &stream, bool success);
    boost::asio::awaitable<bool> ensureAdapter(DispatchTarget target);
    /// The final answer if no upstream gave one; cuts an answer that has begun.
    boost::asio::awaitable<void> refuse(ErrorKind kind, std::string reason,
                                        std::optional<Duration> retryAfter = std::nullopt);
    boost::asio::awaitable<void> refuseFailed(AttemptResult result);
    /// Ends a stream that cannot go on. The caller must not take the part that it has for the
    /// whole.
    void cutStream(const std::string &reason);
    /// The final answer of a request that was not sent and is better served elsewhere.
    boost::asio::awaitable<void> refuseForStop(std::string reason);

    DispatchQuery makeQuery() const;
    void noteDemand();
    void leaveRoom();
    void notePace(Duration firstAnswer);
    bool mayTryAgain(const AttemptResult &result, Instant now);
    bool deadlinePassed(Instant now) const { return now >= this->deadline; }
    int urgency() const;
    void log(int status, const std::string &outcome, const std::string &reason) const;

    Gateway &gateway;
    const HttpRequest request;
    HttpResponder &responder;
    const Instant arrived;
    const std::shared_ptr<std::set<Exchange *>> siblings;

    // The configuration that was in force at the arrival decides until the end.
    std::shared_ptr<const FleetConfig> config;
    const Route *route = nullptr;
    RequestFacts facts;
    std::string service;
    Instant deadline{};
    std::set<std::string> tried;
    // Sends that may have run, and sends of any outcome.
    int runs = 0;
    int sends = 0;
    std::shared_ptr<HttpCancel> cancel;
    bool callerGone = false;
    ExchangePhase phase = ExchangePhase::Choosing;
    // Set while the request waits for an engine to read other prompts.
    std::optional<WaitingRoom::Ticket> placeInRoom;
    // The request has waited for an engine to load its model.
    bool waitedForLoad = false;
    // The head of the answer went out; only events of the same stream may follow.
    bool streaming = false;
    // Last event of the stream that went out, or its head.
    Instant lastEventAt{};
    EventSplitter events;
    std::string lastUpstream;
    Duration lastSnapshotAge{-1};
    double lastCost = 0;
    std::optional<Instant> firstAnswerAt;
    // Longest pause between two pieces of a stream.
    Duration longestPause{};
};

} // namespace tray
