// Scoring of an upstream by the outcomes of attempts.
#include "dispatch/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace tray {

namespace {

// Part of the score that a whole answer leaves.
constexpr double AnswerRelief = 0.8;
// Scores beyond this only delay the recovery.
constexpr double MaxScore = 8;

double weightOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::ServerError:
        // Some requests fail wherever they run.
        return 0.3;
    case AttemptOutcome::Full:
        return 0.5;
    case AttemptOutcome::Unreachable:
    case AttemptOutcome::Broken:
        return 1;
    case AttemptOutcome::Silent:
        return 1.5;
    case AttemptOutcome::Answered:
    case AttemptOutcome::Misdirected:
    case AttemptOutcome::Abandoned:
        return 0;
    }
    return 0;
}

} // namespace

void UpstreamHealth::note(AttemptOutcome outcome, Instant now)
{
    double next = this->score(now) + weightOf(outcome);
    if (outcome == AttemptOutcome::Answered)
        next *= AnswerRelief;
    this->scoreAt = std::min(next, MaxScore);
    this->scoredAt = now;
    if (outcome == AttemptOutcome::Unreachable) {
        this->pause = std::min(LongestPause, std::max(FirstPause, this->pause * 2));
        this->pausedUntil = now + this->pause;
    } else if (outcome == AttemptOutcome::Answered) {
        this->pause = Duration{};
        this->pausedUntil = Instant{};
    }
}

double UpstreamHealth::score(Instant now) const
{
    const double halves = std::chrono::duration<double>(now - this->scoredAt) /
                          std::chrono::duration<double>(HalfLife);
    return this->scoreAt * std::exp2(-std::max(0.0, halves));
}

} // namespace tray
