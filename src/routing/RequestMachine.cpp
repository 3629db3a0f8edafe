// Retry rules.
#include "routing/RequestMachine.h"

namespace tray {

bool RequestMachine::mayRetry(const AttemptOutcome &outcome) const
{
    if (this->attempts >= MaxAttempts || outcome.end == AttemptEnd::Whole)
        return false;
    if (!errorAnswer(outcome.kind).retryable)
        return false;
    return this->idempotent || !(outcome.mayHaveRun || this->mayHaveRun);
}

RequestStep RequestMachine::onOutcome(const AttemptOutcome &outcome, const AttemptFacts &facts)
{
    this->mayHaveRun = this->mayHaveRun || outcome.mayHaveRun;
    if (outcome.end == AttemptEnd::Whole)
        return RequestStep::Answer;
    this->lastError = Error{outcome.kind, outcome.message, outcome.retryAfterMs};
    if (facts.answerStarted)
        return RequestStep::Abort;
    if (this->mayRetry(outcome) && facts.withinDeadline && facts.budgetAllows)
        return RequestStep::Retry;
    if (!this->idempotent && this->mayHaveRun)
        this->lastError.kind = ErrorKind::OutcomeUnknown;
    return RequestStep::GiveUp;
}

} // namespace tray
