// Keeps the queue and predicts waits from running means.
#include "dispatch/PrefillQueue.h"

#include <algorithm>

namespace tray {

namespace {

double toMsExact(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Adds a sample to a running mean, which restarts if its last sample is too old.
void addSample(double &mean, Instant &meanAt, double sample, Instant now)
{
    const bool isFresh = meanAt != Instant{} && now < meanAt + PrefillQueue::SampleLifetime;
    mean = isFresh ? mean + PrefillQueue::SampleWeight * (sample - mean) : sample;
    meanAt = now;
}

} // namespace

PrefillQueue::Ticket PrefillQueue::enqueue(const std::string &model, int priority, double prefillMs,
                                           std::optional<FairShare> share)
{
    const double fairTag = share ? this->fairOrders[model].enqueue(share->account, prefillMs) : 0;
    this->waiters.emplace(this->nextTicket, Waiter{model, priority, prefillMs, share, fairTag});
    return this->nextTicket++;
}

void PrefillQueue::serve(Ticket ticket)
{
    const auto found = this->waiters.find(ticket);
    if (found == this->waiters.end())
        return;
    const Waiter served = std::move(found->second);
    this->waiters.erase(found);
    if (!served.share)
        return;
    // The virtual time does not pass the requests that still wait: a more urgent request of an
    // account that has used much would otherwise put later requests of all others behind it.
    double tag = served.fairTag;
    for (const auto &[other, waiter] : this->waiters) {
        if (waiter.share && waiter.model == served.model)
            tag = std::min(tag, waiter.fairTag);
    }
    this->fairOrders[served.model].noteServed(tag);
}

void PrefillQueue::remove(Ticket ticket)
{
    const auto found = this->waiters.find(ticket);
    if (found == this->waiters.end())
        return;
    const Waiter &waiter = found->second;
    if (waiter.share)
        this->fairOrders[waiter.model].noteWithdrawn(waiter.share->account, waiter.prefillMs);
    this->waiters.erase(found);
}

PrefillQueue::AgedPriorities PrefillQueue::agePriorities(const std::string &model,
                                                         Instant now) const
{
    AgedPriorities aged;
    for (const auto &[ticket, waiter] : this->waiters) {
        if (waiter.model != model || !waiter.share)
            continue;
        int64_t level = waiter.priority;
        if (waiter.share->ageingPeriod > Duration::zero() && now > waiter.share->arrived)
            level -= (now - waiter.share->arrived) / waiter.share->ageingPeriod;
        const int priority = static_cast<int>(std::max<int64_t>(0, level));
        auto [place, isNew] = aged.try_emplace(waiter.priority, priority);
        place->second = std::min(place->second, priority);
    }
    return aged;
}

QueuePlace PrefillQueue::placeOf(const Waiter &waiter, Ticket ticket, const AgedPriorities &aged)
{
    const auto found = waiter.share ? aged.find(waiter.priority) : aged.end();
    return {found == aged.end() ? waiter.priority : found->second, waiter.fairTag, ticket};
}

QueuePlace PrefillQueue::placeOf(Ticket ticket, Instant now) const
{
    const auto found = this->waiters.find(ticket);
    if (found == this->waiters.end())
        return {};
    return placeOf(found->second, ticket, this->agePriorities(found->second.model, now));
}

bool PrefillQueue::hasWaiters(const std::string &model) const
{
    return std::any_of(this->waiters.begin(), this->waiters.end(),
                       [&](const auto &item) { return item.second.model == model; });
}

void PrefillQueue::noteSent(const std::string &model, Instant now)
{
    auto &flow = this->flows[model];
    if (flow.hadQueueAtSend)
        addSample(flow.intervalMs, flow.intervalAt, toMsExact(now - flow.sentAt), now);
    flow.sentAt = now;
    flow.hadQueueAtSend = this->hasWaiters(model);
}

void PrefillQueue::noteFirstAnswer(const std::string &model, Duration firstAnswer, Instant now)
{
    auto &flow = this->flows[model];
    addSample(flow.firstAnswerMs, flow.firstAnswerAt, toMsExact(firstAnswer), now);
}

Duration PrefillQueue::predictFirstAnswer(const std::string &model, int priority,
                                          const EngineEstimate &engines, Instant now,
                                          std::optional<FairShare> share)
{
    // Without a cost, asking for the tag does not charge the account.
    const double fairTag = share ? this->fairOrders[model].enqueue(share->account, 0) : 0;
    const Waiter waiter{model, priority, 0, share, fairTag};
    return this->predictFirstAnswerBehind(waiter, this->nextTicket, engines, now);
}

Duration PrefillQueue::predictFirstAnswer(Ticket ticket, const EngineEstimate &engines,
                                          Instant now) const
{
    const auto found = this->waiters.find(ticket);
    if (found == this->waiters.end())
        return Duration::zero();
    return this->predictFirstAnswerBehind(found->second, ticket, engines, now);
}

Duration PrefillQueue::predictFirstAnswerBehind(const Waiter &request, Ticket ticket,
                                                const EngineEstimate &engines, Instant now) const
{
    const std::string &model = request.model;
    const AgedPriorities aged = this->agePriorities(model, now);
    const QueuePlace place = placeOf(request, ticket, aged);
    size_t ahead = 0;
    double prefillMsAhead = 0;
    for (const auto &[other, waiter] : this->waiters) {
        if (waiter.model != model || !(placeOf(waiter, other, aged) < place))
            continue;
        ++ahead;
        prefillMsAhead += waiter.prefillMs;
    }
    double waitMs = prefillMsAhead / std::max(1.0, engines.count);
    double answerMs = engines.firstAnswerMs;
    if (const auto found = this->flows.find(model); found != this->flows.end()) {
        const auto &flow = found->second;
        if (flow.intervalAt != Instant{} && now < flow.intervalAt + SampleLifetime)
            waitMs = flow.intervalMs * static_cast<double>(ahead + 1);
        if (flow.firstAnswerAt != Instant{} && now < flow.firstAnswerAt + SampleLifetime)
            answerMs = flow.firstAnswerMs;
    }
    return milliseconds(static_cast<int64_t>(waitMs + answerMs));
}

} // namespace tray
