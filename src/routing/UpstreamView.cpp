// Bookkeeping of one upstream.
#include "routing/UpstreamView.h"

#include <algorithm>

namespace tray {

void UpstreamView::noteSent(std::span<const uint64_t> prefixDigests)
{
    const std::lock_guard lock(this->mutex);
    ++this->sentSince;
    ++this->inFlight;
    for (const uint64_t digest : prefixDigests)
        this->prefixes[digest % PrefixSlots] = digest;
}

void UpstreamView::noteEnded(Duration spent)
{
    const std::lock_guard lock(this->mutex);
    if (this->inFlight > 0)
        --this->inFlight;
    if (spent > Duration::zero()) {
        // Exponential average over about the last eight answers.
        this->serviceTime = this->serviceTime == Duration::zero()
                                ? spent
                                : this->serviceTime + (spent - this->serviceTime) / 8;
    }
}

void UpstreamView::noteLoad(const proto::Load &report, Instant now)
{
    const std::lock_guard lock(this->mutex);
    // A lower sequence is an older report that arrived late, unless the agent has restarted.
    const bool isOld = report.sequence() < this->load.sequence() && now - this->loadAt < TrustTime;
    if (isOld)
        return;
    this->load = report;
    this->loadAt = now;
    this->sentSince = 0;
    if (report.draining())
        this->avoidedUntil = std::max(this->avoidedUntil, now + DrainPause);
}

bool UpstreamView::noteUnreachable(Instant now)
{
    const std::lock_guard lock(this->mutex);
    const auto pause =
        std::min(FirstSuspicion * (1u << std::min(this->failures, 8u)), Duration(LongestSuspicion));
    this->avoidedUntil = std::max(this->avoidedUntil, now + pause);
    return this->failures++ == 0;
}

bool UpstreamView::noteReachable()
{
    const std::lock_guard lock(this->mutex);
    const bool wasSuspected = std::exchange(this->failures, 0) > 0;
    if (wasSuspected && !this->load.draining())
        this->avoidedUntil = Instant{};
    return wasSuspected;
}

void UpstreamView::noteDraining(Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->avoidedUntil = std::max(this->avoidedUntil, now + DrainPause);
}

UpstreamEstimate UpstreamView::estimate(Instant now) const
{
    const std::lock_guard lock(this->mutex);
    UpstreamEstimate estimate;
    estimate.trusted = this->loadAt != Instant{} && now - this->loadAt <= TrustTime;
    estimate.avoided = now < this->avoidedUntil;
    estimate.running = this->load.running();
    estimate.queued = this->load.queued();
    estimate.concurrency = this->load.concurrency();
    estimate.wait = milliseconds(this->load.wait_ms());
    estimate.waitTop = milliseconds(this->load.wait_top_ms());
    estimate.sentSince = this->sentSince;
    estimate.inFlight = this->inFlight;
    estimate.tokenMicros = this->load.token_us();
    estimate.prefillMicrosPer1k = this->load.prefill_us_per_1k();
    estimate.serviceTime = this->serviceTime;
    return estimate;
}

size_t UpstreamView::cachedPrefixes(std::span<const uint64_t> prefixDigests) const
{
    const std::lock_guard lock(this->mutex);
    size_t count = 0;
    for (const uint64_t digest : prefixDigests) {
        if (this->prefixes[digest % PrefixSlots] != digest)
            break;
        ++count;
    }
    return count;
}

} // namespace tray
