// Mean over the time seen so far, which turns into an exponential mean after the time constant.
#include "replicas/SlownessFilter.h"

#include <algorithm>
#include <cmath>

namespace tray {

void SlownessFilter::add(double reading, Instant now)
{
    if (!std::isfinite(reading))
        return;
    const Duration elapsed =
        std::clamp<Duration>(now - this->readAt.value_or(now), Duration::zero(), MaxReadingTime);
    this->readAt = now;
    this->formedOver = std::min<Duration>(this->formedOver + elapsed, TimeConstant);
    const double share =
        std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(this->formedOver);
    this->smoothed += share * (std::clamp(reading, 1.0, MaxSlowness) - this->smoothed);
    if (std::abs(this->smoothed - this->plannedValue) > SwitchDistance)
        this->plannedValue = std::round(this->smoothed / Step) * Step;
}

} // namespace tray
