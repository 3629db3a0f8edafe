// Baseline strategy: the upstream with the lowest share of its concurrency in use.
#pragma once

#include "routing/RoutingStrategy.h"

namespace tray {

/// Compares running and queued requests at the last report, plus what was sent since.
class LeastLoadedRouting : public RoutingStrategy
{
public:
    const Candidate *choose(const CandidateRefs &candidates, const RouteQuery &query, Instant now,
                            std::mt19937_64 &random) const override;
    std::string_view name() const override { return "least-loaded"; }
};

} // namespace tray
