// Deadlines of a gateway's graceful shutdown. Decides which requests are still expected to complete
// before the process ends, from the durations of the responses on their route.
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
    static constexpr Duration ExitMargin = milliseconds(100);
    /// Least time before the exit margin that is reserved for writing final responses to the
    /// requests that are still in flight.
    static constexpr Duration MinFinalResponseTime = milliseconds(500);
    /// Processor time of one final response, with the cancellation of its attempt.
    static constexpr Duration FinalResponseCpuTime = std::chrono::microseconds(250);
    /// Retry-After of refusals during a shutdown. It is short because other instances can take the
    /// request immediately.
    static constexpr Duration DrainRetryAfter = milliseconds(50);
    /// Weight of a new sample in a route's exponential moving averages.
    static constexpr double SampleWeight = 0.1;
    /// Number of mean deviations above the mean that few responses exceed; as for the
    /// retransmission timeout of TCP (RFC 6298).
    static constexpr double UpperDeviations = 4;

    /// Begins a shutdown. The process ends after the grace period; its processor time is given in
    /// cores.
    void begin(Instant now, Duration grace, double cpuCores);
    /// Reserves the time that the process needs to write final responses to this number of
    /// requests, but at most half of the grace period.
    void reserveFinalResponses(size_t unanswered);
    bool isStopping() const { return this->drainDeadlineAt.has_value(); }
    /// Returns whether requests whose answer has not begun must get their final response now.
    bool isAnswerDue(Instant now) const
    {
        return this->answerDeadlineAt && now >= *this->answerDeadlineAt;
    }
    /// Returns whether all requests that are still in flight must end now. Streams that have begun
    /// are cut, which costs little time.
    bool isDrainOver(Instant now) const
    {
        return this->drainDeadlineAt && now >= *this->drainDeadlineAt;
    }
    /// answerDeadline() and drainDeadline() are the times from which isAnswerDue() and
    /// isDrainOver() hold; finalResponseDeadline() is the time by which the final responses must
    /// have been written. They may be called only after begin().
    Instant answerDeadline() const { return *this->answerDeadlineAt; }
    Instant drainDeadline() const { return *this->drainDeadlineAt; }
    Instant finalResponseDeadline() const { return this->finalResponseDeadlineAt; }

    /// Records the duration of a response on this route: from its first bytes to its end, and from
    /// the sending of the request to its end.
    void recordResponse(const std::string &route, Duration body, Duration total);
    /// Returns whether a response whose first bytes are expected after the given time from now is
    /// expected to be complete before the final responses are due. Always true without a shutdown.
    bool canFinish(const std::string &route, Duration firstAnswer, Instant now) const;
    /// Returns whether a request that is sent now gets its response before the final responses are
    /// due, by the durations on its route or because its deadline passes before. Always true
    /// without a shutdown.
    bool canStart(const std::string &route, Instant deadline, Instant now) const;

private:
    /// Moving averages of the durations of a route's responses and of their deviation from it.
    class DurationEstimate
    {
    public:
        void add(Duration sample);
        /// Duration that few responses exceed.
        Duration upper() const;

    private:
        bool hasSamples = false;
        Duration mean{};
        Duration deviation{};
    };
    struct RouteDurations
    {
        DurationEstimate body;
        DurationEstimate total;
    };

    std::optional<Instant> drainDeadlineAt;
    // Invariant: set with drainDeadlineAt, and not after it.
    std::optional<Instant> answerDeadlineAt;
    Instant finalResponseDeadlineAt{};
    // Earliest time at which requests are ended: half of the grace period.
    Instant firstAnswerDeadlineAt{};
    double cpuCores = 1;
    std::map<std::string, RouteDurations> durations;
};

} // namespace tray
