// Deadlines of a gateway's graceful shutdown. Decides which requests are still expected to complete
// before the process ends, using the mean duration of the response bodies of each route.
#pragma once

#include "base/Time.h"

#include <map>
#include <optional>
#include <string>

namespace tray {

/// Deadlines of a graceful shutdown. A request that has not been sent to an upstream yet can be
/// served by another instance, so it waits during a shutdown only if its response is expected to be
/// complete before the process ends.
class ShutdownSchedule
{
public:
    /// Time at the end of the grace period that is reserved for the exit of the process.
    static constexpr Duration ExitMargin = milliseconds(400);
    /// Time before the exit margin that is reserved for writing final responses to the requests
    /// that are still in flight.
    static constexpr Duration FinalResponseTime = milliseconds(200);
    /// Retry-After of refusals during a shutdown. It is short because other instances can take the
    /// request immediately.
    static constexpr Duration DrainRetryAfter = milliseconds(50);
    /// Weight of a new sample in a route's exponential moving average.
    static constexpr double MeanSampleWeight = 0.1;

    /// Begins a shutdown. The process ends after the grace period.
    void begin(Instant now, Duration grace);
    bool isStopping() const { return this->drainDeadlineAt.has_value(); }
    /// Returns whether requests that are still in flight must get their final response now.
    bool isDrainOver(Instant now) const
    {
        return this->drainDeadlineAt && now >= *this->drainDeadlineAt;
    }
    /// drainDeadline() is the time from which isDrainOver() holds; finalResponseDeadline() is the
    /// time by which the final responses must have been written. Both may be called only after
    /// begin().
    Instant drainDeadline() const { return *this->drainDeadlineAt; }
    Instant finalResponseDeadline() const { return *this->drainDeadlineAt + FinalResponseTime; }

    /// Records the time from the first bytes of a response on this route to its end.
    void recordBodyDuration(const std::string &route, Duration rest);
    /// Returns whether a response whose first bytes are expected after the given time from now is
    /// expected to be complete before the final responses are due. Always true without a shutdown.
    bool canFinish(const std::string &route, Duration firstAnswer, Instant now) const;

private:
    std::optional<Instant> drainDeadlineAt;
    // Mean time from the first bytes of a response to its end, by route.
    std::map<std::string, Duration> meanBodyDurations;
};

} // namespace tray
