#include "routing/LeastLoadedRouting.h"

#include <algorithm>

namespace tray {

const Candidate *LeastLoadedRouting::choose(const CandidateRefs &candidates, const RouteQuery &,
                                            Instant now, std::mt19937_64 &random) const
{
    const Candidate *best = nullptr;
    double bestLoad = 0;
    // A random start avoids always choosing the first of several equally loaded upstreams.
    const size_t start = random() % candidates.size();
    for (size_t i = 0; i < candidates.size(); ++i) {
        const auto *candidate = candidates[(start + i) % candidates.size()];
        const auto estimate = candidate->view->estimate(now);
        const uint32_t slots =
            std::max({estimate.concurrency, candidate->status->concurrency(), 1u});
        const double load =
            static_cast<double>(estimate.running + estimate.queued + estimate.sentSinceReport) /
            slots;
        if (best == nullptr || load < bestLoad) {
            best = candidate;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace tray
