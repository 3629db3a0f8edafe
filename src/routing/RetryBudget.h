// Limits retries to a share of the new requests, so that retries do not amplify an overload.
#pragma once

#include "base/Time.h"

#include <mutex>

namespace tray {

/// Token bucket for retries: new requests and time add credit, each retry consumes one retry of it.
/// Thread-safe.
class RetryBudget
{
public:
    /// Number of retries that are allowed in a burst after an idle period: about as many as are
    /// needed when one upstream dies with all its requests.
    static constexpr int64_t BurstSize = 50;
    /// Credit added by time alone, in retries per second.
    static constexpr int64_t RefillPerSecond = 1;
    /// Upper bound of the credit that new requests can add up to, in retries.
    static constexpr int64_t MaxCredit = 200;

    /// Retries allowed per 100 new requests; 0 forbids retries.
    explicit RetryBudget(unsigned percent) : percent(percent) {}

    /// Counts a new request of a caller.
    void noteRequest(Instant now);
    /// Consumes one retry. Returns false if the budget is exhausted.
    bool tryConsume(Instant now);

private:
    void refill(Instant now);

    const int64_t percent;
    std::mutex mutex;
    // In hundredths of a retry. Invariant: between 0 and 100 times MaxCredit.
    int64_t credit = BurstSize * 100;
    Instant refilledAt{};
};

} // namespace tray
