// Prediction of completion times.
#include "routing/PredictiveRouting.h"

#include "routing/LeastLoadedRouting.h"

#include <algorithm>

namespace tray {

namespace {

using std::chrono::microseconds;

Duration prefillTime(const Candidate &candidate, const RouteQuery &query, uint32_t microsPer1k)
{
    const size_t cached = candidate.view->cachedPrefixes(query.prefixDigests);
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
    const auto service =
        estimate.serviceTime > Duration::zero() ? estimate.serviceTime : this->costs.unknownService;
    Duration wait{};
    if (estimate.trusted) {
        wait = query.tierRank == 0 ? estimate.waitTop : estimate.wait;
        // Requests sent since the report take free slots first and then wait for one another.
        const uint32_t busy = estimate.running + estimate.queued + estimate.sentSince;
        const uint32_t over = busy >= slots ? std::min(estimate.sentSince, busy - slots + 1) : 0;
        wait += service * over / slots;
    } else {
        const uint32_t over = estimate.inFlight >= slots ? estimate.inFlight - slots + 1 : 0;
        wait = this->costs.unknownLoad + service * over / slots;
    }
    const Duration prefill = prefillTime(candidate, query, estimate.prefillMicrosPer1k);
    // Most answers are far shorter than the most tokens that they may have. Counting those in full
    // would send work over the region link that its home can do in time.
    Duration decode = microseconds(uint64_t{query.maxTokens} * estimate.tokenMicros);
    if (estimate.serviceTime > Duration::zero())
        decode = std::min(decode, 2 * estimate.serviceTime);
    switch (candidate.distance) {
    case Distance::SameDataCentre:
        return wait + prefill + decode + this->costs.dataCentreRoundTrip;
    case Distance::SameRegion:
        return wait + prefill + decode + this->costs.regionRoundTrip;
    case Distance::OtherRegion:
        break;
    }
    return wait + prefill + decode + this->costs.linkRoundTrip;
}

Duration PredictiveRouting::cost(const Candidate &candidate, const RouteQuery &query,
                                 Instant now) const
{
    const auto predicted = this->predict(candidate, query, now);
    if (candidate.distance != Distance::OtherRegion)
        return predicted;
    return predicted + this->costs.linkPricePerKilobyte * (query.bytes / 1024 + 1);
}

const Candidate *PredictiveRouting::lowest(const CandidateRefs &candidates, const RouteQuery &query,
                                           Instant now, std::mt19937_64 &random) const
{
    const Candidate *best = nullptr;
    Duration bestCost{};
    // A random start and an odd stride visit distinct candidates without a shuffled copy.
    const size_t count = candidates.size();
    const size_t taken = std::min(count, this->costs.sampleSize);
    const size_t start = random() % count;
    const size_t stride = count > taken ? 1 + random() % (count / taken) : 1;
    for (size_t i = 0; i < taken; ++i) {
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
    CandidateRefs home;
    CandidateRefs away;
    for (const auto *candidate : candidates) {
        const bool isHome = query.homeRegion.empty()
                                ? candidate->distance != Distance::OtherRegion
                                : candidate->status->region() == query.homeRegion;
        (isHome ? home : away).push_back(candidate);
    }
    if (home.empty())
        return this->lowest(away, query, now, random);
    // The upstream that has most of the prompt cached competes with the random ones.
    const Candidate *best = this->lowest(home, query, now, random);
    if (!query.prefixDigests.empty()) {
        for (const auto *candidate : home) {
            if (candidate->view->cachedPrefixes(query.prefixDigests) > 0 &&
                this->cost(*candidate, query, now) < this->cost(*best, query, now))
                best = candidate;
        }
    }
    if (away.empty() || this->predict(*best, query, now) <= query.remaining)
        return best;
    // The sample may have missed an upstream at home that meets the deadline.
    for (const auto *candidate : home) {
        if (this->predict(*candidate, query, now) <= query.remaining)
            return candidate;
    }
    const auto *other = this->lowest(away, query, now, random);
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
