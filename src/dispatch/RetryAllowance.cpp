// Sliding window of requests and repeats.
#include "dispatch/RetryAllowance.h"

#include <algorithm>

namespace tray {

void RetryAllowance::noteFirst(Instant now)
{
    this->expire(now);
    this->firsts.push_back(now);
}

bool RetryAllowance::take(size_t instances, Instant now)
{
    this->expire(now);
    const double share = this->bounds.reserve / static_cast<double>(std::max<size_t>(1, instances));
    const double allowed =
        Utilization * (this->bounds.ratio * static_cast<double>(this->firsts.size()) + share);
    if (static_cast<double>(this->repeats.size()) + 1 > allowed)
        return false;
    this->repeats.push_back(now);
    return true;
}

void RetryAllowance::expire(Instant now)
{
    const auto drop = [&](std::deque<Instant> &times) {
        while (!times.empty() && times.front() + this->bounds.window <= now)
            times.pop_front();
    };
    drop(this->firsts);
    drop(this->repeats);
}

} // namespace tray
