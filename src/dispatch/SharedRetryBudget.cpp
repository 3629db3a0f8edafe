// Sliding window of first attempts and retries.
#include "dispatch/SharedRetryBudget.h"

#include <algorithm>

namespace tray {

void SharedRetryBudget::noteFirstAttempt(Instant now)
{
    this->dropExpired(now);
    this->firstAttempts.push_back(now);
}

bool SharedRetryBudget::tryConsume(size_t instances, Instant now)
{
    this->dropExpired(now);
    const double share = this->limits.reserve / static_cast<double>(std::max<size_t>(1, instances));
    const double allowed =
        Utilization *
        (this->limits.ratio * static_cast<double>(this->firstAttempts.size()) + share);
    if (static_cast<double>(this->retries.size()) + 1 > allowed)
        return false;
    this->retries.push_back(now);
    return true;
}

void SharedRetryBudget::dropExpired(Instant now)
{
    const auto drop = [&](std::deque<Instant> &times) {
        while (!times.empty() && times.front() + this->limits.window <= now)
            times.pop_front();
    };
    drop(this->firstAttempts);
    drop(this->retries);
}

} // namespace tray
