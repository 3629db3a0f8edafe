// Computes the deadlines of a graceful shutdown and the expected durations of responses.
#include "gateway/ShutdownSchedule.h"

#include <algorithm>
#include <utility>

namespace tray {

void ShutdownSchedule::begin(Instant now, Duration grace, double cpuCores)
{
    this->finalResponseDeadlineAt = now + grace - ExitMargin;
    this->drainDeadlineAt = this->finalResponseDeadlineAt - MinFinalResponseTime;
    this->firstAnswerDeadlineAt = std::min(now + grace / 2, *this->drainDeadlineAt);
    this->cpuCores = cpuCores;
    this->reserveFinalResponses(0);
}

void ShutdownSchedule::reserveFinalResponses(size_t unanswered)
{
    const auto needed = std::chrono::duration_cast<Duration>(static_cast<double>(unanswered) *
                                                             FinalResponseCpuTime / this->cpuCores);
    this->answerDeadlineAt = std::max(*this->drainDeadlineAt - needed, this->firstAnswerDeadlineAt);
}

void ShutdownSchedule::DurationEstimate::add(Duration sample)
{
    if (!std::exchange(this->hasSamples, true)) {
        this->mean = sample;
        return;
    }
    const Duration error = sample - this->mean;
    const Duration spread = error < Duration::zero() ? -error : error;
    this->deviation +=
        std::chrono::duration_cast<Duration>(SampleWeight * (spread - this->deviation));
    this->mean += std::chrono::duration_cast<Duration>(SampleWeight * error);
}

Duration ShutdownSchedule::DurationEstimate::upper() const
{
    return this->mean + std::chrono::duration_cast<Duration>(UpperDeviations * this->deviation);
}

void ShutdownSchedule::recordResponse(const std::string &route, Duration body, Duration total)
{
    auto &known = this->durations[route];
    known.body.add(body);
    known.total.add(total);
}

bool ShutdownSchedule::canFinish(const std::string &route, Duration firstAnswer, Instant now) const
{
    if (!this->answerDeadlineAt)
        return true;
    const auto found = this->durations.find(route);
    const Duration rest =
        found == this->durations.end() ? Duration::zero() : found->second.body.upper();
    return now + firstAnswer + rest <= *this->answerDeadlineAt;
}

bool ShutdownSchedule::canStart(const std::string &route, Instant deadline, Instant now) const
{
    if (!this->answerDeadlineAt || deadline <= *this->answerDeadlineAt)
        return true;
    const auto found = this->durations.find(route);
    return found != this->durations.end() &&
           now + found->second.total.upper() <= *this->answerDeadlineAt;
}

} // namespace tray
