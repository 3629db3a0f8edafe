// Scoring of an upstream by the outcomes of attempts.
#include "dispatch/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace tray {

namespace {

// Factor by which a complete answer reduces the score.
constexpr double SuccessFactor = 0.8;
// Highest score; a higher one would only delay the recovery.
constexpr double MaxScore = 8;

double weightOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::ServerError:
        // Some requests fail on every upstream.
        return 0.3;
    case AttemptOutcome::Full:
        return 0.5;
    case AttemptOutcome::Unreachable:
    case AttemptOutcome::Broken:
        return 1;
    case AttemptOutcome::TimedOut:
        return 1.5;
    case AttemptOutcome::Answered:
    case AttemptOutcome::Misdirected:
    case AttemptOutcome::Abandoned:
        return 0;
    }
    return 0;
}

} // namespace

void UpstreamHealth::noteOutcome(AttemptOutcome outcome, Instant now)
{
    double next = this->score(now) + weightOf(outcome);
    if (outcome == AttemptOutcome::Answered)
        next *= SuccessFactor;
    this->lastScore = std::min(next, MaxScore);
    this->scoredAt = now;
    if (outcome == AttemptOutcome::Unreachable) {
        this->backoff = std::min(MaxBackoff, std::max(InitialBackoff, this->backoff * 2));
        this->backoffUntil = now + this->backoff;
    } else if (outcome == AttemptOutcome::Answered) {
        this->backoff = Duration{};
        this->backoffUntil = Instant{};
    }
}

double UpstreamHealth::score(Instant now) const
{
    if (this->lastScore == 0)
        return 0;
    const double halves = std::chrono::duration<double>(now - this->scoredAt) /
                          std::chrono::duration<double>(HalfLife);
    return this->lastScore * std::exp2(-std::max(0.0, halves));
}

} // namespace tray
