// How long work takes at one engine against the fastest engines, and how long its streams pause.
//
// Engines differ permanently in speed, and neighbours on their machines slow them for moments. The
// permanent part is learnt from the streams that this instance relays, the momentary part from the
// figure that the engine reports. Every input loses its weight with age, so that an engine that
// gets no load because of old samples is tried again.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace tray {

/// Mean of samples that weighs recent ones more and loses its weight with age.
class AgeingMean
{
public:
    /// Moves the mean towards the sample by this share of the difference; the first sample is taken
    /// whole.
    void add(double sample, double share, Instant now);
    /// Weight of the mean: 1 at the time of the last sample, falling linearly to 0 at the lifetime.
    double weight(Duration lifetime, Instant now) const;
    double mean() const { return this->value; }
    bool isEmpty() const { return !this->sampledAt; }
    std::optional<Instant> lastSampleAt() const { return this->sampledAt; }

private:
    double value = 0;
    std::optional<Instant> sampledAt;
};

class EnginePace
{
public:
    /// Lifetime of what is known of the engine's permanent speed. Long, since one of many gateways
    /// relays a stream of an engine only every few seconds.
    static constexpr Duration SpeedLifetime = std::chrono::seconds(30);
    /// Lifetime of the pauses. Short, since a pausing engine gets few streams that could show that
    /// its pauses have ended.
    static constexpr Duration PauseLifetime = std::chrono::seconds(6);
    /// Lifetime of a reported figure, which changes many times a second.
    static constexpr Duration ReportLifetime = milliseconds(1000);
    /// Bounds of slowness(): readings beyond them stem from faults or from a stall that the health
    /// score and the pauses show.
    static constexpr double MinSlowness = 0.5;
    static constexpr double MaxSlowness = 6;

    /// Adds the time to a first event, as a multiple of the least and of the greatest time that the
    /// fastest engines would have needed: without waiting and with all shared parts of the prompt
    /// cached, and behind all prompts sent before it and with nothing cached. A time between the
    /// two says nothing about the engine.
    void noteFirstEvent(double timesLeast, double timesGreatest, Instant now);
    /// Adds the median gap between the events of a stream, as a multiple of that at the fastest
    /// engines.
    void noteMedianGap(double timesFastest, Instant now);
    /// Adds a pause of a stream as a multiple of the pause that its route accepts: the longest one
    /// at the end of the stream, or one that has just been seen.
    void notePause(double timesAccepted, Instant now);
    /// Adds the figure that the engine reports: time that work takes on its machine, in percent of
    /// the usual time.
    void noteReport(uint32_t percent, Instant now);

    /// Adds the usual gap between the events of all gateways' streams, which the engine's steward
    /// tells, as a multiple of that at the fastest engines and without the momentary part.
    void noteUsualGap(double timesFastest, Instant now);
    /// Adds the usual longest pause of the streams of all gateways, as a multiple of the accepted
    /// one.
    void noteUsualPause(double timesAccepted, Instant now);

    /// Time that work takes, as a multiple of the time at the fastest engines; 1 if nothing recent
    /// is known.
    double slowness(Instant now) const;
    /// Usual longest pause of the streams as a multiple of the accepted pause; 0 if no recent one
    /// is known.
    double pauseRatio(Instant now) const;
    /// Smoothed reported figure, 1 for the usual time; not set if there is no recent one.
    std::optional<double> reportedSlowness(Instant now) const;

private:
    AgeingMean firstEvent;
    uint32_t firstEventSamples = 0;
    AgeingMean medianGap;
    AgeingMean pause;
    // What the steward has told; it goes before what this instance's few streams show.
    AgeingMean usualGap;
    AgeingMean usualPause;
    // Reported figure now, and its mean over the time in which the permanent speed was learnt.
    AgeingMean report;
    AgeingMean usualReport;
};

} // namespace tray
