// Limit on the prefill work in an interval, so that the running streams do not pause too long.
#pragma once

#include "base/Time.h"
#include "schedule/RisingMinimum.h"

#include <cstdint>

namespace tray {

/// Pauses that a stream has had.
struct StreamPauses
{
    Duration median{};
    Duration longest{};
};

/// Starts from the accepted pause less the time of one event's decode steps, and adapts to the
/// longest pauses of the streams that have ended.
class PrefillLimit
{
public:
    /// Notes that a request waits because of the limit.
    void noteInUse() { this->isInUse = true; }
    /// Notes the cost of a prompt that was granted.
    void notePrompt(Duration cost);
    /// Returns the running mean of the prompts' costs; zero before the first one.
    Duration usualPrompt() const;
    /// Notes the pauses of a stream that was granted at a time and accepts pauses of the given
    /// length.
    void noteStream(const StreamPauses &pauses, Duration accepted, Instant grantedAt, Instant now);
    /// Returns the usual longest pause of the streams that have ended lately, as a share of the
    /// accepted one; 0 if there were none.
    double pauseShare(Instant now) const;
    /// Returns the work that may be granted in an interval as long as the accepted pause: at least
    /// one usual prompt and at most the interval.
    Duration limitFor(Duration accepted) const;

private:
    void adjust(Instant now);

    /// Growth per sample of the time of one event's steps; the lowest medians have no prefill in
    /// them.
    static constexpr double SlowerEventGrowth = 1.02;

    RisingMinimum eventMs{SlowerEventGrowth};
    double factor = 1;
    // Running mean of the prompts' costs.
    double promptMs = 0;
    // Streams that ended since the last adjustment.
    Instant countedSince{};
    // Whether a request waited because of the limit since then.
    bool isInUse = false;
    uint32_t streams = 0;
    uint32_t longPauses = 0;
    uint32_t shortPauses = 0;
    Instant loweredAt{};
    // Mean of the longest pauses as shares of the accepted ones, and the time of the last sample.
    double meanPauseShare = 0;
    Instant pausedAt{};
};

} // namespace tray
