// Learns the pace from clean samples and reports.
#include "schedule/LearntPace.h"

#include <algorithm>

namespace tray {

namespace {

// Bounds of the pace. Values beyond them stem from cached prompts or from stalls.
constexpr double MinPace = 0.4;
constexpr double MaxPace = 5;
// Weight of a new report. Reports arrive about eight times a second, and the value changes as
// often.
constexpr double ReportWeight = 0.3;
// Share by which a gap moves the running median; the median of some 30 streams is known to a tenth.
constexpr double MedianStep = 0.03;
// Bounds of the correction by first events. It only shortens: a longer first event also contains
// decode steps, which the gaps show already.
constexpr double MinCorrection = 0.4;
constexpr double MaxCorrection = 1;

} // namespace

void LearntPace::addSample(Duration firstEvent, Duration prefill)
{
    if (prefill < MinSamplePrefill || firstEvent <= Duration{})
        return;
    const double ratio = static_cast<double>(firstEvent.count()) / prefill.count();
    this->base.add(std::clamp(ratio / this->reported, MinPace, MaxPace));
    if (this->knowsGaps())
        this->correction =
            std::clamp(this->correction * (ratio > this->value() ? 1 + MedianStep : 1 - MedianStep),
                       MinCorrection, MaxCorrection);
}

void LearntPace::noteReported(uint32_t percent)
{
    if (percent == 0)
        return;
    const double factor = std::clamp(percent / 100.0, MinPace, MaxPace);
    this->reported =
        this->hasReport ? this->reported + ReportWeight * (factor - this->reported) : factor;
    this->hasReport = true;
}

void LearntPace::addGap(Duration median)
{
    if (median <= Duration{})
        return;
    const double sample =
        std::chrono::duration<double, std::milli>(median).count() / this->reported;
    if (this->usualGapMs == 0)
        this->usualGapMs = sample;
    else
        this->usualGapMs *= sample > this->usualGapMs ? 1 + MedianStep : 1 - MedianStep;
}

void LearntPace::noteFastestGap(Duration gap)
{
    if (gap > Duration{})
        this->fastestGapMs = std::chrono::duration<double, std::milli>(gap).count();
}

Duration LearntPace::usualGap() const
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(this->usualGapMs));
}

bool LearntPace::knowsGaps() const
{
    return this->usualGapMs > 0 && this->fastestGapMs > 0;
}

double LearntPace::gapRatio() const
{
    return std::max(1.0, this->usualGapMs / this->fastestGapMs);
}

double LearntPace::value() const
{
    const double constant =
        this->knowsGaps() ? this->correction * this->gapRatio() : this->base.valueOr(1);
    return std::clamp(constant * this->reported, MinPace, MaxPace);
}

} // namespace tray
