// Bookkeeping of waiting prompts.
#include "dispatch/WaitingRoom.h"

#include <algorithm>

namespace tray {

namespace {

double toMsExact(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Running mean; starts anew if the last sample is too old.
void addSample(double &mean, Instant &meanAt, double sample, Instant now)
{
    const bool isFresh = meanAt != Instant{} && now < meanAt + WaitingRoom::MemoryTime;
    mean = isFresh ? mean + WaitingRoom::SampleWeight * (sample - mean) : sample;
    meanAt = now;
}

} // namespace

WaitingRoom::Ticket WaitingRoom::enter(const std::string &model, int urgency, double readMs)
{
    this->waiting.emplace(this->next, Waiter{model, urgency, readMs});
    return this->next++;
}

void WaitingRoom::leave(Ticket ticket)
{
    this->waiting.erase(ticket);
}

bool WaitingRoom::hasWaiters(const std::string &model) const
{
    return std::any_of(this->waiting.begin(), this->waiting.end(),
                       [&](const auto &item) { return item.second.model == model; });
}

void WaitingRoom::sent(const std::string &model, Instant now)
{
    auto &flow = this->flows[model];
    if (flow.stoodQueue)
        addSample(flow.intervalMs, flow.intervalAt, toMsExact(now - flow.sentAt), now);
    flow.sentAt = now;
    flow.stoodQueue = this->hasWaiters(model);
}

void WaitingRoom::answered(const std::string &model, Duration firstAnswer, Instant now)
{
    auto &flow = this->flows[model];
    addSample(flow.firstAnswerMs, flow.firstAnswerAt, toMsExact(firstAnswer), now);
}

Duration WaitingRoom::predict(const std::string &model, int urgency, const Engines &engines,
                              Instant now) const
{
    return this->predictAfter(model, urgency, this->next, engines, now);
}

Duration WaitingRoom::predict(Ticket ticket, const Engines &engines, Instant now) const
{
    const auto found = this->waiting.find(ticket);
    if (found == this->waiting.end())
        return Duration::zero();
    return this->predictAfter(found->second.model, found->second.urgency, ticket, engines, now);
}

Duration WaitingRoom::predictAfter(const std::string &model, int urgency, Ticket ticket,
                                   const Engines &engines, Instant now) const
{
    size_t ahead = 0;
    double aheadMs = 0;
    for (const auto &[other, waiter] : this->waiting) {
        const bool goesFirst =
            waiter.urgency < urgency || (waiter.urgency == urgency && other < ticket);
        if (waiter.model != model || !goesFirst)
            continue;
        ++ahead;
        aheadMs += waiter.readMs;
    }
    double waitMs = aheadMs / static_cast<double>(std::max<size_t>(1, engines.count));
    double answerMs = engines.firstAnswerMs;
    if (const auto found = this->flows.find(model); found != this->flows.end()) {
        const auto &flow = found->second;
        if (flow.intervalAt != Instant{} && now < flow.intervalAt + MemoryTime)
            waitMs = flow.intervalMs * static_cast<double>(ahead + 1);
        if (flow.firstAnswerAt != Instant{} && now < flow.firstAnswerAt + MemoryTime)
            answerMs = flow.firstAnswerMs;
    }
    return milliseconds(static_cast<int64_t>(waitMs + answerMs));
}

} // namespace tray
