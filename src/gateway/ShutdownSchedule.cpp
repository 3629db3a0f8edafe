// Computes the deadlines of a graceful shutdown and the mean response durations.
#include "gateway/ShutdownSchedule.h"

namespace tray {

void ShutdownSchedule::begin(Instant now, Duration grace)
{
    this->drainDeadlineAt = now + grace - ExitMargin - FinalResponseTime;
}

void ShutdownSchedule::recordBodyDuration(const std::string &route, Duration rest)
{
    const auto [mean, isFirst] = this->meanBodyDurations.try_emplace(route, rest);
    if (!isFirst)
        mean->second +=
            std::chrono::duration_cast<Duration>(MeanSampleWeight * (rest - mean->second));
}

bool ShutdownSchedule::canFinish(const std::string &route, Duration firstAnswer, Instant now) const
{
    if (!this->drainDeadlineAt)
        return true;
    const auto found = this->meanBodyDurations.find(route);
    const Duration rest = found == this->meanBodyDurations.end() ? Duration::zero() : found->second;
    return now + firstAnswer + rest <= *this->drainDeadlineAt;
}

} // namespace tray
