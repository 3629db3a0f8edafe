// Follows the wait of a request through its asks and replies.
#include "dispatch/AdmissionWait.h"

#include <algorithm>

namespace tray {

bool AdmissionWait::takeDueAsk(Instant now)
{
    if (this->isOver())
        return false;
    if (this->current == AdmissionState::Queued && now >= this->queueLimit) {
        this->current = AdmissionState::TooLong;
        return false;
    }
    if (now < this->stepAt)
        return false;
    if (this->unansweredAsks >= MaxUnansweredAsks) {
        this->current = AdmissionState::Silent;
        return false;
    }
    ++this->unansweredAsks;
    this->hasAsked = true;
    this->stepAt = now + this->replyTimeout;
    return true;
}

void AdmissionWait::handleReply(proto::AdmissionVerdict verdict, Duration expected, Instant now)
{
    if (this->isOver())
        return;
    switch (verdict) {
    case proto::ADMISSION_GRANTED:
        this->current = AdmissionState::Granted;
        return;
    case proto::ADMISSION_REFUSED:
        this->current = AdmissionState::Refused;
        this->expected = expected;
        return;
    case proto::ADMISSION_QUEUED:
        break;
    default:
        // A verdict of a later release is no answer that this one can act on.
        return;
    }
    this->expected = expected;
    this->unansweredAsks = 0;
    const bool isTooLong = now + expected > this->queueLimit;
    this->current = isTooLong ? AdmissionState::TooLong : AdmissionState::Queued;
    this->stepAt = std::min(now + AskPeriod, this->queueLimit);
}

} // namespace tray
