// How long work takes on an engine, relative to the fastest engines.
#pragma once

#include "base/Time.h"
#include "schedule/RisingMinimum.h"

#include <cstdint>

namespace tray {

/// Combines what requests showed with what the engine's machine reports. Whether the reported value
/// contains the constant speed of the machine is not known: each sample is divided by the value
/// reported at its time, so that the product is right in both cases.
class LearntPace
{
public:
    /// Shortest prefill, on the fastest engines, that is used as a sample; the time to the first
    /// event of a shorter one depends more on the network.
    static constexpr Duration MinSamplePrefill = milliseconds(15);

    /// Adds the time to the first event of a request that ran without other prefills.
    void addSample(Duration firstEvent, Duration prefill);
    /// Adds the median gap between the events of a stream that has ended. Gaps show the speed of an
    /// engine better than first events, which cached prompts shorten.
    void addGap(Duration median);
    /// Notes the usual gap at the fastest engines, according to a gateway; zero if it knows none.
    void noteFastestGap(Duration gap);
    /// Adds a reported value in percent of the usual time; 0 is ignored.
    void noteReported(uint32_t percent);
    /// Returns the factor by which work takes longer than on the fastest engines; 1 before any
    /// sample or report.
    double value() const;
    /// Returns the usual gap without the momentary slowdown that the engine reports; zero before
    /// any sample.
    Duration usualGap() const;

private:
    bool knowsGaps() const;
    /// Constant speed of the engine by its gaps, as a factor of at least 1.
    double gapRatio() const;

    /// Factor by which a slower sample may raise the pace.
    static constexpr double SlowerSampleGrowth = 1.02;

    RisingMinimum base{SlowerSampleGrowth};
    // Running median of the streams' median gaps, in ms, each divided by the reported value; 0
    // before any sample.
    double usualGapMs = 0;
    double fastestGapMs = 0;
    // Running median of first-event times as a multiple of what the gaps let expect. The gateways'
    // estimates are those of the fastest answers, and some prompts are cached.
    double correction = 1;
    // Smoothed reported value, as a factor.
    double reported = 1;
    bool hasReport = false;
};

} // namespace tray
