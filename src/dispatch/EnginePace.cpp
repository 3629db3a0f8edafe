// Combines measured and reported times of an engine into one factor.
#include "dispatch/EnginePace.h"

#include <algorithm>
#include <cmath>

namespace tray {

namespace {

// Bounds of a single sample, so that one outlier does not outweigh many others.
constexpr double MinSample = 0.25;
constexpr double MaxSample = 8;
// Share of a first-event time that is shorter than expected.
constexpr double FasterShare = 0.25;
// Share of a first-event time that is longer than expected. Smaller, since the prompts of other
// gateways ahead of this one lengthen it, too, and are not known.
constexpr double SlowerShare = 0.06;
// Number of first events from which they have their full weight. Fewer cannot raise the mean as far
// as the engine is slow, and would hide what the gaps show.
constexpr uint32_t FullFirstEventSamples = 16;
// Share of the median gap of a stream.
constexpr double GapShare = 0.15;
// Share of a pause that is longer than the mean, and of one that is shorter. A pause is harmful at
// once; streams without one show only slowly that the engine can take more.
constexpr double LongerPauseShare = 0.4;
constexpr double ShorterPauseShare = 0.15;
// Time constants in which the mean of the reported figure follows a change.
constexpr double ReportSeconds = 0.25;
constexpr double UsualReportSeconds = 20;
// Bounds of a reported figure, in percent of the usual time.
constexpr uint32_t MinReport = 20;
constexpr uint32_t MaxReport = 2000;

/// Share of a sample that follows the last one after this time in a mean with this time constant.
double shareAfter(const AgeingMean &mean, double timeConstantSeconds, Instant now)
{
    if (mean.isEmpty())
        return 1;
    const double seconds =
        std::max(0.0, std::chrono::duration<double>(now - *mean.lastSampleAt()).count());
    return 1 - std::exp(-seconds / timeConstantSeconds);
}

} // namespace

void AgeingMean::add(double sample, double share, Instant now)
{
    this->value = this->isEmpty() ? sample : this->value + share * (sample - this->value);
    this->sampledAt = now;
}

double AgeingMean::weight(Duration lifetime, Instant now) const
{
    if (!this->sampledAt)
        return 0;
    const double age = std::chrono::duration<double>(now - *this->sampledAt) /
                       std::chrono::duration<double>(lifetime);
    return std::clamp(1 - age, 0.0, 1.0);
}

void EnginePace::noteFirstEvent(double timesLeast, double timesGreatest, Instant now)
{
    timesLeast = std::clamp(timesLeast, MinSample, MaxSample);
    timesGreatest = std::clamp(timesGreatest, MinSample, timesLeast);
    if (this->firstEvent.weight(SpeedLifetime, now) == 0) {
        this->firstEvent = {};
        this->firstEventSamples = 0;
    }
    this->firstEventSamples = std::min(this->firstEventSamples + 1, FullFirstEventSamples);
    const double known = this->firstEvent.isEmpty() ? 1 : this->firstEvent.mean();
    const double sample = std::clamp(known, timesGreatest, timesLeast);
    // Without earlier samples the weight must still be that of one sample, not of many.
    if (this->firstEvent.isEmpty())
        this->firstEvent.add(1, 1, now);
    this->firstEvent.add(sample, sample > known ? SlowerShare : FasterShare, now);
}

void EnginePace::noteMedianGap(double timesFastest, Instant now)
{
    if (this->medianGap.weight(SpeedLifetime, now) == 0)
        this->medianGap = {};
    this->medianGap.add(std::clamp(timesFastest, MinSample, MaxSample), GapShare, now);
}

void EnginePace::notePause(double timesAccepted, Instant now)
{
    // The mean begins at what is left of it, so that one stream after a time without any does not
    // restore its full weight.
    const double known = this->pauseRatio(now);
    const double sample = std::clamp(timesAccepted, 0.0, MaxSample);
    AgeingMean next;
    next.add(known, 1, now);
    next.add(sample, sample > known ? LongerPauseShare : ShorterPauseShare, now);
    this->pause = next;
}

void EnginePace::noteReport(uint32_t percent, Instant now)
{
    if (percent == 0)
        return;
    const double sample = std::clamp(percent, MinReport, MaxReport) / 100.0;
    if (this->report.weight(ReportLifetime, now) == 0)
        this->report = {};
    if (this->usualReport.weight(SpeedLifetime, now) == 0)
        this->usualReport = {};
    this->report.add(sample, shareAfter(this->report, ReportSeconds, now), now);
    this->usualReport.add(sample, shareAfter(this->usualReport, UsualReportSeconds, now), now);
}

void EnginePace::noteUsualGap(double timesFastest, Instant now)
{
    this->usualGap.add(std::clamp(timesFastest, MinSample, MaxSample), 1, now);
}

void EnginePace::noteUsualPause(double timesAccepted, Instant now)
{
    this->usualPause.add(std::clamp(timesAccepted, 0.0, MaxSample), 1, now);
}

double EnginePace::slowness(Instant now) const
{
    const double firstEventWeight = this->firstEvent.weight(SpeedLifetime, now) *
                                    this->firstEventSamples / FullFirstEventSamples;
    const double gapWeight = this->medianGap.weight(SpeedLifetime, now);
    const double weights = firstEventWeight + gapWeight;
    const double measured = 1 + (firstEventWeight * (this->firstEvent.mean() - 1) +
                                 gapWeight * (this->medianGap.mean() - 1)) /
                                    std::max(1.0, weights);
    double momentary = 1;
    if (const auto reported = this->reportedSlowness(now)) {
        // The measured times contain the usual reported figure; only its change is new. Without
        // measured times the figure itself counts.
        const double contained =
            1 + std::min(1.0, weights) * (std::max(this->usualReport.mean(), 0.01) - 1);
        momentary = 1 + this->report.weight(ReportLifetime, now) * (*reported / contained - 1);
    }
    const double usualGapWeight = this->usualGap.weight(SpeedLifetime, now);
    // The usual gap never contains the reported figure.
    const double known =
        usualGapWeight * this->usualGap.mean() * this->reportedSlowness(now).value_or(1) +
        (1 - usualGapWeight) * measured * momentary;
    return std::clamp(known, MinSlowness, MaxSlowness);
}

double EnginePace::pauseRatio(Instant now) const
{
    const double own = this->pause.mean() * this->pause.weight(PauseLifetime, now);
    const double weight = this->usualPause.weight(PauseLifetime, now);
    return weight * this->usualPause.mean() + (1 - weight) * own;
}

std::optional<double> EnginePace::reportedSlowness(Instant now) const
{
    if (this->report.weight(ReportLifetime, now) == 0)
        return std::nullopt;
    return this->report.mean();
}

} // namespace tray
