// State machine of one request over all its attempts: decides after each attempt whether a retry is
// safe, and otherwise how the request ends.
#pragma once

#include "base/Result.h"
#include "routing/AttemptMachine.h"

namespace tray {

/// Next action after an attempt.
enum class RequestStep : uint8_t {
    /// The complete answer can be sent to the caller.
    Answer,
    /// Try another upstream.
    Retry,
    /// Answer with an error; see failure() and ran().
    Fail,
    /// A part of the answer was already sent to the caller: abort its connection.
    Abort,
};

/// Conditions for a retry that the driver supplies after an attempt.
struct RetryContext
{
    /// A part of the answer was sent to the caller.
    bool answerStarted = false;
    /// The request can still be answered before its deadline.
    bool withinDeadline = true;
    /// The retry budget allows another attempt. The budget is consulted only if a retry is
    /// possible.
    bool budgetAllows = true;
};

/// Decides on retries of one request. Pure: uses no clock and no sockets.
class RequestMachine
{
public:
    /// Limit of the attempts of one request, even if the budget allows more.
    static constexpr uint32_t MaxAttempts = 8;

    /// A request that is not idempotent is dispatched again only if no attempt can have been
    /// executed.
    explicit RequestMachine(bool idempotent) : idempotent(idempotent) {}

    /// Starts the next attempt and returns its number, counted from 1.
    uint32_t beginAttempt() { return ++this->attempts; }
    RequestStep onOutcome(const AttemptVerdict &outcome, const RetryContext &context);
    /// Whether a retry is safe and useful after this outcome, regardless of budget and deadline.
    bool mayRetry(const AttemptVerdict &outcome) const;

    uint32_t attemptCount() const { return this->attempts; }
    /// Whether any attempt so far may have been executed.
    Ran ran() const { return this->mayHaveRun ? Ran::Unknown : Ran::No; }
    /// Error of the final answer; valid after Fail.
    const Error &failure() const { return this->lastError; }

private:
    const bool idempotent;
    uint32_t attempts = 0;
    bool mayHaveRun = false;
    Error lastError;
};

} // namespace tray
