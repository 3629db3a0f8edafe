// Limits the retries that an instance sends to a service to its share of a limit for all instances.
#pragma once

#include "base/Time.h"

#include <deque>

namespace tray {

/// Limits on the retries to a service within a sliding window, for all instances together.
struct SharedRetryLimits
{
    /// Retries allowed per first attempt in the window.
    double ratio = 0.2;
    /// Further retries allowed in a window, whatever the number of requests.
    double reserve = 50;
    Duration window = std::chrono::seconds(10);
};

/// Counts the first attempts and retries of one service at one instance. The ratio applies to the
/// requests that this instance took itself; the reserve is divided by the number of instances.
class SharedRetryBudget
{
public:
    /// Part of the limits that is used; the rest covers instances that start or stop unnoticed.
    static constexpr double Utilization = 0.8;

    explicit SharedRetryBudget(SharedRetryLimits limits) : limits(limits) {}

    /// Records that a caller's request was sent to an upstream for the first time.
    void noteFirstAttempt(Instant now);
    /// Consumes one retry; false if this instance has used up its share.
    bool tryConsume(size_t instances, Instant now);

private:
    void dropExpired(Instant now);

    SharedRetryLimits limits;
    // Times of the first attempts and of the retries in the window, oldest first.
    std::deque<Instant> firstAttempts;
    std::deque<Instant> retries;
};

} // namespace tray
