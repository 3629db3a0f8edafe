// Scores the health of an upstream by the outcomes of the attempts at it.
#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"

namespace tray {

/// How an attempt at an upstream ended.
enum class AttemptOutcome : uint8_t {
    /// The answer was complete, or this instance cut it.
    Answered,
    /// The upstream answered with a server error.
    ServerError,
    /// The upstream refused the request without executing it.
    Full,
    /// The address belongs to another upstream, or the upstream lacks the model.
    Misdirected,
    /// No connection could be made.
    Unreachable,
    /// The connection ended early, or the bytes received were no valid answer.
    Broken,
    /// The time of the request ran out before the answer was complete.
    TimedOut,
    /// The caller disconnected before the answer.
    Abandoned,
};

template <>
struct EnumNames<AttemptOutcome>
{
    static constexpr auto Table = std::to_array<EnumName<AttemptOutcome>>({
        {AttemptOutcome::Answered, "answered"},
        {AttemptOutcome::ServerError, "server_error"},
        {AttemptOutcome::Full, "full"},
        {AttemptOutcome::Misdirected, "misdirected"},
        {AttemptOutcome::Unreachable, "unreachable"},
        {AttemptOutcome::Broken, "broken"},
        {AttemptOutcome::TimedOut, "silent"},
        {AttemptOutcome::Abandoned, "abandoned"},
    });
};

/// Failure score that decays with time, and a backoff after failed connections. Health checks
/// answered by the upstream itself are not used: they can be wrong in either direction.
class UpstreamHealth
{
public:
    /// Time in which the score halves.
    static constexpr Duration HalfLife = std::chrono::seconds(3);
    /// Backoff after the first failed connection; doubles with each further one up to the longest.
    static constexpr Duration InitialBackoff = milliseconds(300);
    /// Longest backoff after a failed connection.
    static constexpr Duration MaxBackoff = milliseconds(2400);

    void noteOutcome(AttemptOutcome outcome, Instant now);
    /// Current score: 0 for a healthy upstream, otherwise about the number of recent failures that
    /// successes have not offset.
    double score(Instant now) const;
    /// Whether the upstream is in backoff after a failed connection, so that other upstreams are to
    /// be tried first.
    bool isBackingOff(Instant now) const { return now < this->backoffUntil; }

private:
    double lastScore = 0;
    Instant scoredAt{};
    Duration backoff{};
    Instant backoffUntil{};
};

} // namespace tray
