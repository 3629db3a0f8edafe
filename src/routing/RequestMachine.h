// Decides, after each attempt of a request, whether another attempt is safe, or which final answer
// is true.
#pragma once

#include "base/Result.h"
#include "routing/AttemptMachine.h"

namespace tray {

/// What follows an attempt.
enum class RequestStep : uint8_t {
    /// The whole answer can be given to the caller.
    Answer,
    /// Try another upstream.
    Retry,
    /// Answer with an error; see failure() and ran().
    GiveUp,
    /// A part of the answer is with the caller already: break its connection.
    Abort,
};

/// What the driver knows after an attempt.
struct AttemptFacts
{
    /// A part of the answer was sent to the caller.
    bool answerStarted = false;
    /// The caller can still be answered in time.
    bool withinDeadline = true;
    /// The retry budget allows another attempt; asked only if one is needed.
    bool budgetAllows = true;
};

/// One request over all of its attempts. Pure: no clock, no sockets.
class RequestMachine
{
public:
    /// Attempts of one request, whatever the budget allows.
    static constexpr uint32_t MaxAttempts = 8;

    /// A request that is not idempotent is dispatched again only after an attempt that certainly
    /// did not run.
    explicit RequestMachine(bool idempotent) : idempotent(idempotent) {}

    /// Number for the next attempt, from 1.
    uint32_t beginAttempt() { return ++this->attempts; }
    RequestStep onOutcome(const AttemptOutcome &outcome, const AttemptFacts &facts);
    /// Another attempt would be safe and useful after this outcome, budget and time aside.
    bool mayRetry(const AttemptOutcome &outcome) const;

    uint32_t attemptCount() const { return this->attempts; }
    /// Whether any attempt so far may have been executed.
    Ran ran() const { return this->mayHaveRun ? Ran::Unknown : Ran::No; }
    /// Error of the final answer; valid after GiveUp.
    const Error &failure() const { return this->lastError; }

private:
    const bool idempotent;
    uint32_t attempts = 0;
    bool mayHaveRun = false;
    Error lastError;
};

} // namespace tray
