// Implements the queue of an account's requests that wait for credit.
#include "quota/AccountQuota.h"

#include <algorithm>

namespace tray {

std::optional<QuotaDecision> AccountQuota::decide(uint64_t cost, const QuotaSpec &spec,
                                                  const QuotaBounds &bounds, Instant now)
{
    this->perSecond = spec.perSecond;
    this->credit.recordDemand(cost, now);
    if (static_cast<double>(cost) > QuotaLimits(spec, bounds).largestCost())
        return QuotaDecision{QuotaVerdict::Exceeded, {}, bounds.window};
    if (this->waiters.empty()) {
        if (auto charge = this->credit.tryCharge(cost, now))
            return QuotaDecision{QuotaVerdict::Granted, std::move(*charge), {}};
        const auto wait = this->credit.knownWait(cost, this->perSecond, now);
        if (wait && *wait > MaxWait)
            return QuotaDecision{QuotaVerdict::Exceeded, {}, *wait};
    }
    if (this->waiters.size() >= MaxWaiters)
        return QuotaDecision{QuotaVerdict::Exceeded, {}, this->retryAfter(cost, now)};
    return std::nullopt;
}

Duration AccountQuota::retryAfter(uint64_t cost, Instant now) const
{
    if (const auto wait = this->credit.knownWait(cost, this->perSecond, now))
        return *wait;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(cost) / this->perSecond));
}

AccountQuota::Ticket AccountQuota::enqueue(uint64_t cost, Instant now)
{
    this->waiters.push_back({++this->lastTicket, cost, now});
    return this->lastTicket;
}

void AccountQuota::remove(Ticket ticket)
{
    std::erase_if(this->waiters, [&](const Waiter &waiter) { return waiter.ticket == ticket; });
}

AccountQuota::Decisions AccountQuota::decideWaiting(Instant now)
{
    Decisions decisions;
    while (!this->waiters.empty()) {
        const Waiter &head = this->waiters.front();
        const Duration waited = now - head.arrivedAt;
        const auto wait = this->credit.knownWait(head.cost, this->perSecond, now);
        const bool isAnswered = this->credit.answeredAt() >= head.arrivedAt;
        QuotaDecision decision;
        if (auto charge = this->credit.tryCharge(head.cost, now))
            decision.charge = std::move(*charge);
        else if ((wait && waited + *wait > MaxWait) || (isAnswered && waited >= MaxWait))
            decision = {QuotaVerdict::Exceeded, {}, this->retryAfter(head.cost, now)};
        else if (waited >= MaxSilence)
            decision = {QuotaVerdict::Unknown, {}, SilenceRetryAfter};
        else
            break;
        decisions.emplace_back(head.ticket, std::move(decision));
        this->waiters.pop_front();
    }
    return decisions;
}

std::optional<std::string> AccountQuota::findHomeToAsk(const std::string &first,
                                                       const std::string &second, Instant now)
{
    const std::string &home = this->credit.chooseHome(first, second, now);
    const bool isDue = this->waiters.empty() ? this->credit.isAskDue(home, now)
                                             : this->credit.isResendDue(home, now);
    return isDue ? std::optional(home) : std::nullopt;
}

proto::CreditAskRow AccountQuota::makeAsk(const std::string &home, Instant now)
{
    QuotaWaiters waiting;
    if (!this->waiters.empty())
        waiting.first = this->waiters.front().cost;
    for (const auto &waiter : this->waiters)
        waiting.all += waiter.cost;
    return this->credit.makeAsk(home, waiting, now);
}

} // namespace tray
