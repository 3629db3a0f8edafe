// Budget that keeps retries to a share of fresh traffic, so that overload does not feed itself.
#pragma once

#include "base/Time.h"

#include <mutex>

namespace tray {

/// Credit that grows with fresh requests and with time, and that each retry uses up. Safe to use
/// from any thread.
class RetryBudget
{
public:
    /// Retries that are allowed at once after a quiet time: about what the death of one upstream
    /// with all of its requests needs.
    static constexpr int64_t Reserve = 50;
    /// Credit that time alone adds, in retries per second.
    static constexpr int64_t RefillPerSecond = 1;
    /// Bound on the credit of heavy traffic.
    static constexpr int64_t MaxCredit = 200;

    /// Percent of fresh requests that may be retried; 0 forbids retries.
    explicit RetryBudget(unsigned percent) : percent(percent) {}

    /// Counts a request that came from a caller.
    void noteFresh(Instant now);
    /// Uses up one retry; false if the budget is spent.
    bool take(Instant now);

private:
    void refill(Instant now);

    const int64_t percent;
    std::mutex mutex;
    // Hundredths of a retry. Invariant: between 0 and 100 times MaxCredit.
    int64_t credit = Reserve * 100;
    Instant refilledAt{};
};

} // namespace tray
