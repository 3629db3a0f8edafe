// Decides when a request asks the steward beside an engine for admission, and what the replies or
// their absence mean for it.
#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"

#include "fleet.pb.h"

namespace tray {

enum class AdmissionState : uint8_t {
    /// No reply has arrived yet.
    Asking,
    /// The steward has queued the request.
    Queued,
    Granted,
    /// The steward has refused the request; it has no record of it.
    Refused,
    /// The request would be granted later than it may be queued.
    TooLong,
    /// The steward does not reply.
    Silent
};

template <>
struct EnumNames<AdmissionState>
{
    static constexpr auto Table = std::to_array<EnumName<AdmissionState>>({
        {AdmissionState::Asking, "asking"},
        {AdmissionState::Queued, "queued"},
        {AdmissionState::Granted, "granted"},
        {AdmissionState::Refused, "refused"},
        {AdmissionState::TooLong, "too_long"},
        {AdmissionState::Silent, "silent"},
    });
};

/// The wait of one request for one steward's grant.
class AdmissionWait
{
public:
    /// Time within which a steward of the same region replies to an ask.
    static constexpr Duration ReplyTimeout = milliseconds(60);
    /// Additional time for a steward of another region.
    static constexpr Duration RemoteReplyTime = milliseconds(80);
    /// Time from a reply to the next ask of a queued request, which brings a lost grant.
    static constexpr Duration AskPeriod = milliseconds(100);
    /// Number of consecutive asks without a reply after which the steward counts as silent.
    static constexpr int MaxUnansweredAsks = 2;

    /// The request may be queued until the given time.
    AdmissionWait(bool isRemote, Instant queueLimit, Instant now)
        : replyTimeout(isRemote ? ReplyTimeout + RemoteReplyTime : ReplyTimeout),
          queueLimit(queueLimit), stepAt(now)
    {}

    /// Ends the wait if its time is over. Returns whether an ask is to be sent now.
    bool takeDueAsk(Instant now);
    /// Takes a reply; the expected time is that until the grant.
    void handleReply(proto::AdmissionVerdict verdict, Duration expected, Instant now);

    AdmissionState state() const { return this->current; }
    bool isOver() const
    {
        return this->current != AdmissionState::Asking && this->current != AdmissionState::Queued;
    }
    /// Time at which takeDueAsk() is to be called if no reply arrives before.
    Instant nextStepAt() const { return this->stepAt; }
    /// Time until the grant according to the last reply; zero if there was none.
    Duration expectedWait() const { return this->expected; }
    /// Whether the steward may have a record of the request.
    bool mayBeKnown() const { return this->hasAsked && this->current != AdmissionState::Refused; }

private:
    const Duration replyTimeout;
    const Instant queueLimit;
    AdmissionState current = AdmissionState::Asking;
    Instant stepAt;
    bool hasAsked = false;
    // Asks since the last reply.
    int unansweredAsks = 0;
    Duration expected{};
};

} // namespace tray
