// Baseline routing strategy: chooses the upstream with the lowest load relative to its concurrency.
#pragma once

#include "routing/RoutingStrategy.h"

namespace tray {

/// The load is the number of running and queued requests in the last report plus the requests sent
/// since.
class LeastLoadedRouting : public RoutingStrategy
{
public:
    const Candidate *choose(const CandidateRefs &candidates, const RouteQuery &query, Instant now,
                            std::mt19937_64 &random) const override;
    std::string_view name() const override { return "least-loaded"; }
};

} // namespace tray
