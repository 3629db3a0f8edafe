// What an upstream's answers say of its health.
#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"

namespace tray {

/// How an attempt at an upstream ended.
enum class AttemptOutcome : uint8_t {
    /// Whole answer, or one that was cut by our side.
    Answered,
    /// The upstream answered that it failed.
    ServerError,
    /// Refused without running it.
    Full,
    /// The address belongs to another upstream, or the model is not there.
    Misdirected,
    /// No connection.
    Unreachable,
    /// The connection ended, or the bytes were no valid answer.
    Broken,
    /// Nothing came in the time that the request had.
    Silent,
    /// The caller left before the answer.
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
        {AttemptOutcome::Silent, "silent"},
        {AttemptOutcome::Abandoned, "abandoned"},
    });
};

/// Failure score that decays with time, and a pause after failed connections. Health answers of the
/// upstream itself are not asked for: they can be wrong in either direction.
class UpstreamHealth
{
public:
    /// Time in which the score falls to half.
    static constexpr Duration HalfLife = std::chrono::seconds(3);
    /// First pause after a failed connection; doubles up to the longest.
    static constexpr Duration FirstPause = milliseconds(300);
    static constexpr Duration LongestPause = milliseconds(2400);

    void note(AttemptOutcome outcome, Instant now);
    /// 0 for a healthy upstream; about the number of recent failures that successes did not offset.
    double score(Instant now) const;
    /// No connection could be made lately; try other upstreams first.
    bool isPaused(Instant now) const { return now < this->pausedUntil; }

private:
    double scoreAt = 0;
    Instant scoredAt{};
    Duration pause{};
    Instant pausedUntil{};
};

} // namespace tray
