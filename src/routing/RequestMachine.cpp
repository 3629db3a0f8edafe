// Retry rules: which errors are retried, and when a retry is safe.
#include "routing/RequestMachine.h"

namespace tray {

bool RequestMachine::mayRetry(const AttemptVerdict &outcome) const
{
    if (this->attempts >= MaxAttempts || outcome.end == AttemptEnd::Complete)
        return false;
    if (!errorAnswer(outcome.kind).retryable)
        return false;
    return this->idempotent || !(outcome.mayHaveRun || this->mayHaveRun);
}

RequestStep RequestMachine::onOutcome(const AttemptVerdict &outcome, const RetryContext &context)
{
    this->mayHaveRun = this->mayHaveRun || outcome.mayHaveRun;
    if (outcome.end == AttemptEnd::Complete)
        return RequestStep::Answer;
    this->lastError = Error{outcome.kind, outcome.message, outcome.retryAfterMs};
    if (context.answerStarted)
        return RequestStep::Abort;
    if (this->mayRetry(outcome) && context.withinDeadline && context.budgetAllows)
        return RequestStep::Retry;
    if (!this->idempotent && this->mayHaveRun)
        this->lastError.kind = ErrorKind::OutcomeUnknown;
    return RequestStep::Fail;
}

} // namespace tray
