// What a graceful stop leaves of a gateway's time, and the requests that still fit into it.
#pragma once

#include "base/Time.h"

#include <map>
#include <optional>
#include <string>

namespace tray {

/// A request that is not sent yet may go elsewhere, so it waits during a stop only if it is
/// expected to be served whole before the process ends.
class StopWindow
{
public:
    /// Part of the stop's time that is left for the end of the process.
    static constexpr Duration ExitMargin = milliseconds(400);
    /// Before that, time to write final answers to the requests that are left.
    static constexpr Duration FinalAnswerTime = milliseconds(200);
    /// Pause before callers that are refused come back; other instances can take the request at
    /// once.
    static constexpr Duration ElsewhereRetry = milliseconds(50);
    /// Weight of a new sample in the running mean of a route.
    static constexpr double SampleWeight = 0.1;

    /// The process ends after the grace time.
    void begin(Instant now, Duration grace);
    bool isStopping() const { return this->lastAnswerAt.has_value(); }
    /// Whatever is still in flight gets its final answer now.
    bool isOver(Instant now) const { return this->lastAnswerAt && now >= *this->lastAnswerAt; }
    /// When isOver() begins to hold, and when the final answers must have been written. Only after
    /// begin().
    Instant lastAnswer() const { return *this->lastAnswerAt; }
    Instant end() const { return *this->lastAnswerAt + FinalAnswerTime; }

    /// The rest of an answer on this route took so long after its first bytes.
    void noteRest(const std::string &route, Duration rest);
    /// An answer that begins after this time is expected to be whole before the end.
    bool fits(const std::string &route, Duration firstAnswer, Instant now) const;

private:
    std::optional<Instant> lastAnswerAt;
    // Mean time of answers from their first bytes to their end, by route.
    std::map<std::string, Duration> rests;
};

} // namespace tray
