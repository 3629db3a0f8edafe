#include "routing/UpstreamView.h"

#include <algorithm>

namespace tray {

void UpstreamView::noteSent(std::span<const uint64_t> prefixDigests)
{
    const std::lock_guard lock(this->mutex);
    ++this->sentSinceReport;
    ++this->inFlight;
    for (const uint64_t digest : prefixDigests)
        this->prefixes[digest % PrefixSlotCount] = digest;
}

void UpstreamView::noteEnded(Duration spent)
{
    const std::lock_guard lock(this->mutex);
    if (this->inFlight > 0)
        --this->inFlight;
    if (spent > Duration::zero()) {
        // Exponential moving average over about the last eight answers.
        this->serviceTime = this->serviceTime == Duration::zero()
                                ? spent
                                : this->serviceTime + (spent - this->serviceTime) / 8;
    }
}

void UpstreamView::noteLoad(const proto::Load &report, Instant now)
{
    const std::lock_guard lock(this->mutex);
    // A lower sequence number means an older report that arrived late, unless the agent restarted.
    const bool isOld = report.sequence() < this->load.sequence() &&
                       now - this->loadReceivedAt < LoadReportLifetime;
    if (isOld)
        return;
    this->load = report;
    this->loadReceivedAt = now;
    this->sentSinceReport = 0;
    if (report.draining())
        this->avoidedUntil = std::max(this->avoidedUntil, now + DrainAvoidanceTime);
}

bool UpstreamView::noteUnreachable(Instant now)
{
    const std::lock_guard lock(this->mutex);
    const auto avoidanceTime =
        std::min(InitialAvoidanceTime * (1u << std::min(this->consecutiveFailures, 8u)),
                 Duration(MaxAvoidanceTime));
    this->avoidedUntil = std::max(this->avoidedUntil, now + avoidanceTime);
    return this->consecutiveFailures++ == 0;
}

bool UpstreamView::noteReachable()
{
    const std::lock_guard lock(this->mutex);
    const bool hadFailed = std::exchange(this->consecutiveFailures, 0) > 0;
    if (hadFailed && !this->load.draining())
        this->avoidedUntil = Instant{};
    return hadFailed;
}

void UpstreamView::noteDraining(Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->avoidedUntil = std::max(this->avoidedUntil, now + DrainAvoidanceTime);
}

UpstreamEstimate UpstreamView::estimate(Instant now) const
{
    const std::lock_guard lock(this->mutex);
    UpstreamEstimate estimate;
    estimate.isLoadFresh =
        this->loadReceivedAt != Instant{} && now - this->loadReceivedAt <= LoadReportLifetime;
    estimate.isAvoided = now < this->avoidedUntil;
    estimate.running = this->load.running();
    estimate.queued = this->load.queued();
    estimate.concurrency = this->load.concurrency();
    estimate.lowestTierWait = milliseconds(this->load.wait_ms());
    estimate.highestTierWait = milliseconds(this->load.wait_top_ms());
    estimate.sentSinceReport = this->sentSinceReport;
    estimate.inFlight = this->inFlight;
    estimate.microsPerToken = this->load.token_us();
    estimate.prefillMicrosPer1kTokens = this->load.prefill_us_per_1k();
    estimate.serviceTime = this->serviceTime;
    return estimate;
}

size_t UpstreamView::cachedPrefixCount(std::span<const uint64_t> prefixDigests) const
{
    const std::lock_guard lock(this->mutex);
    size_t count = 0;
    for (const uint64_t digest : prefixDigests) {
        if (this->prefixes[digest % PrefixSlotCount] != digest)
            break;
        ++count;
    }
    return count;
}

} // namespace tray
