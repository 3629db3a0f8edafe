// Place of a request among others that wait for the same capacity.
#pragma once

#include <compare>
#include <cstdint>

namespace tray {

/// Requests go in ascending order of the members. Those with equal places go in order of arrival.
struct QueuePlace
{
    /// Priority, improved by ageing.
    int priority = 0;
    /// Start tag in the fair order among client accounts; 0 without accounts.
    double fairTag = 0;
    /// Rises with each request that is queued; 0 if arrival at the place itself counts.
    uint64_t ticket = 0;

    // Not explicit, because most waiters have only a priority.
    QueuePlace(int priority = 0, double fairTag = 0, uint64_t ticket = 0)
        : priority(priority), fairTag(fairTag), ticket(ticket)
    {}
    auto operator<=>(const QueuePlace &) const = default;
};

} // namespace tray
