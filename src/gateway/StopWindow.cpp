// Time left in a stop.
#include "gateway/StopWindow.h"

namespace tray {

void StopWindow::begin(Instant now, Duration grace)
{
    this->lastAnswerAt = now + grace - ExitMargin - FinalAnswerTime;
}

void StopWindow::noteRest(const std::string &route, Duration rest)
{
    const auto [mean, isFirst] = this->rests.try_emplace(route, rest);
    if (!isFirst)
        mean->second += std::chrono::duration_cast<Duration>(SampleWeight * (rest - mean->second));
}

bool StopWindow::fits(const std::string &route, Duration firstAnswer, Instant now) const
{
    if (!this->lastAnswerAt)
        return true;
    const auto found = this->rests.find(route);
    const Duration rest = found == this->rests.end() ? Duration::zero() : found->second;
    return now + firstAnswer + rest <= *this->lastAnswerAt;
}

} // namespace tray
