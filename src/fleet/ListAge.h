// Decides whether requests wait for a newer instance list. The list in hand can be older than
// followers and readers of it intend: the process stood still, or its news is late. Upstreams may
// have left meanwhile.
#pragma once

#include "fleet/ListRelay.h"

#include <optional>

namespace tray {

/// State machine of one instance. Does no I/O: events and times are arguments.
class ListAge
{
public:
    /// Age from which a list is overdue: an instance that runs has read a newer one by then if the
    /// store answers.
    static constexpr Duration MaxAge = ListRelay::MaxChangeDelay - ListRelay::TakeoverReadTime;
    /// Time for which requests wait for a newer list. If none comes, they go on with the one in
    /// hand.
    static constexpr Duration MaxWait = milliseconds(300);
    /// Time without a sign that the process runs from which it counts as paused.
    static constexpr Duration MinPause = milliseconds(500);
    /// Time after a pause in which datagrams may be old ones that the socket has buffered.
    static constexpr Duration BacklogTime = milliseconds(100);

    /// Records that the process runs. Call this at least every ListRelay::CheckPeriod.
    void noteRunning(Instant now);
    /// Records that the list was read from the store, and was complete as of the given time.
    void noteRead(Instant asOf, Instant now);
    /// Records that a reader's datagram confirms the list as of the given time.
    void noteHeard(Instant asOf, Instant now);
    /// Whether the list is to be read now, because it is overdue.
    bool isOverdue(Instant now);
    /// Age of the list in hand; zero before the first list.
    Duration age(Instant now) const
    {
        return this->knownAsOf ? now - *this->knownAsOf : Duration::zero();
    }
    /// Time for which a request that is about to be sent waits for a newer list; zero if it does
    /// not wait.
    Duration waitTime(Instant now);

private:
    // Time as of which the list in hand is known to be complete; not set before the first list.
    std::optional<Instant> knownAsOf;
    std::optional<Instant> ranAt;
    Instant backlogUntil{};
    // Time from which requests wait; set while the list is overdue and requests came.
    std::optional<Instant> waitBeganAt;
};

} // namespace tray
