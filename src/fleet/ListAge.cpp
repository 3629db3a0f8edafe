// Implements the decisions on the age of the instance list.
#include "fleet/ListAge.h"

namespace tray {

void ListAge::noteRunning(Instant now)
{
    if (this->ranAt && now >= *this->ranAt + MinPause)
        this->backlogUntil = now + BacklogTime;
    this->ranAt = now;
}

void ListAge::noteRead(Instant asOf, Instant now)
{
    this->noteRunning(now);
    this->knownAsOf = std::max(this->knownAsOf.value_or(asOf), asOf);
}

void ListAge::noteHeard(Instant asOf, Instant now)
{
    this->noteRunning(now);
    // The list itself is always read first.
    if (this->knownAsOf && now >= this->backlogUntil)
        this->knownAsOf = std::max(*this->knownAsOf, asOf);
}

bool ListAge::isOverdue(Instant now)
{
    this->noteRunning(now);
    return this->knownAsOf && now >= *this->knownAsOf + MaxAge;
}

Duration ListAge::waitTime(Instant now)
{
    if (!this->isOverdue(now)) {
        this->waitBeganAt.reset();
        return Duration::zero();
    }
    if (!this->waitBeganAt)
        this->waitBeganAt = now;
    return std::max<Duration>(*this->waitBeganAt + MaxWait - now, Duration::zero());
}

} // namespace tray
