// Predicts completion times from load reports, cached prefixes and distance.
#include "routing/PredictiveRouting.h"

#include "routing/LeastLoadedRouting.h"

#include <algorithm>

namespace tray {

namespace {

using std::chrono::microseconds;

Duration prefillTime(const Candidate &candidate, const RouteQuery &query, uint32_t microsPer1k)
{
    const size_t cached = candidate.view->cachedPrefixCount(query.prefixDigests);
    const uint32_t cachedTokens = cached > 0 ? query.prefixTokens[cached - 1] : 0;
    const uint32_t tokens = query.promptTokens - std::min(query.promptTokens, cachedTokens);
    return microseconds(uint64_t{tokens} * microsPer1k / 1000);
}

} // namespace

Duration PredictiveRouting::predict(const Candidate &candidate, const RouteQuery &query,
                                    Instant now) const
{
    const auto estimate = candidate.view->estimate(now);
    const uint32_t slots = std::max({estimate.concurrency, candidate.status->concurrency(), 1u});
    const auto service = estimate.serviceTime > Duration::zero() ? estimate.serviceTime
                                                                 : this->costs.defaultServiceTime;
    Duration wait{};
    if (estimate.isLoadFresh) {
        wait = query.tierRank == 0 ? estimate.highestTierWait : estimate.lowestTierWait;
        // Requests sent since the report fill the free slots first and then queue behind each
        // other.
        const uint32_t busy = estimate.running + estimate.queued + estimate.sentSinceReport;
        const uint32_t excess =
            busy >= slots ? std::min(estimate.sentSinceReport, busy - slots + 1) : 0;
        wait += service * excess / slots;
    } else {
        const uint32_t excess = estimate.inFlight >= slots ? estimate.inFlight - slots + 1 : 0;
        wait = this->costs.unknownLoadPenalty + service * excess / slots;
    }
    const Duration prefill = prefillTime(candidate, query, estimate.prefillMicrosPer1kTokens);
    // Most answers are far shorter than their token limit. Predicting the full length would send
    // requests to other regions that the preferred region can answer in time.
    Duration decode = microseconds(uint64_t{query.maxTokens} * estimate.microsPerToken);
    if (estimate.serviceTime > Duration::zero())
        decode = std::min(decode, 2 * estimate.serviceTime);
    switch (candidate.distance) {
    case Distance::SameDataCentre:
        return wait + prefill + decode + this->costs.dataCentreRoundTrip;
    case Distance::SameRegion:
        return wait + prefill + decode + this->costs.sameRegionRoundTrip;
    case Distance::OtherRegion:
        break;
    }
    return wait + prefill + decode + this->costs.otherRegionRoundTrip;
}

Duration PredictiveRouting::cost(const Candidate &candidate, const RouteQuery &query,
                                 Instant now) const
{
    const auto predicted = this->predict(candidate, query, now);
    if (candidate.distance != Distance::OtherRegion)
        return predicted;
    return predicted + this->costs.linkCostPerKilobyte * (query.bytes / 1024 + 1);
}

const Candidate *PredictiveRouting::chooseLowestCost(const CandidateRefs &candidates,
                                                     const RouteQuery &query, Instant now,
                                                     std::mt19937_64 &random) const
{
    const Candidate *best = nullptr;
    Duration bestCost{};
    // A random start and stride sample distinct candidates without shuffling a copy.
    const size_t count = candidates.size();
    const size_t sampleCount = std::min(count, this->costs.sampleSize);
    const size_t start = random() % count;
    const size_t stride = count > sampleCount ? 1 + random() % (count / sampleCount) : 1;
    for (size_t i = 0; i < sampleCount; ++i) {
        const auto *candidate = candidates[(start + i * stride) % count];
        const auto cost = this->cost(*candidate, query, now);
        if (best == nullptr || cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

const Candidate *PredictiveRouting::choose(const CandidateRefs &candidates, const RouteQuery &query,
                                           Instant now, std::mt19937_64 &random) const
{
    CandidateRefs preferred;
    CandidateRefs others;
    for (const auto *candidate : candidates) {
        const bool isPreferred = query.preferredRegion.empty()
                                     ? candidate->distance != Distance::OtherRegion
                                     : candidate->status->region() == query.preferredRegion;
        (isPreferred ? preferred : others).push_back(candidate);
    }
    if (preferred.empty())
        return this->chooseLowestCost(others, query, now, random);
    // Upstreams that have a prefix of the prompt cached are compared with the sampled ones.
    const Candidate *best = this->chooseLowestCost(preferred, query, now, random);
    if (!query.prefixDigests.empty()) {
        for (const auto *candidate : preferred) {
            if (candidate->view->cachedPrefixCount(query.prefixDigests) > 0 &&
                this->cost(*candidate, query, now) < this->cost(*best, query, now))
                best = candidate;
        }
    }
    if (others.empty() || this->predict(*best, query, now) <= query.remaining)
        return best;
    // The sample may have missed an upstream in the preferred region that meets the deadline.
    for (const auto *candidate : preferred) {
        if (this->predict(*candidate, query, now) <= query.remaining)
            return candidate;
    }
    const auto *other = this->chooseLowestCost(others, query, now, random);
    return this->predict(*other, query, now) <= query.remaining ? other : best;
}

std::unique_ptr<RoutingStrategy> makeRoutingStrategy(std::string_view name)
{
    if (name == "predictive")
        return std::make_unique<PredictiveRouting>();
    if (name == "least-loaded")
        return std::make_unique<LeastLoadedRouting>();
    return nullptr;
}

} // namespace tray
