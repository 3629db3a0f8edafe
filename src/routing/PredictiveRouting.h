// Routing strategy that chooses the upstream with the lowest predicted time to the
// complete answer.
#pragma once

#include "routing/RoutingStrategy.h"

namespace tray {

/// Constants of the predicted time and cost.
struct PredictionCosts
{
    /// Round-trip times by distance. The link between regions has a latency of 30 ms each way.
    Duration dataCentreRoundTrip = std::chrono::microseconds(200);
    Duration sameRegionRoundTrip = milliseconds(3);
    Duration otherRegionRoundTrip = milliseconds(60);
    /// Cost of using the link between regions, expressed as time: it carries 30 Mbit/s and is
    /// billed by volume.
    Duration linkCostPerKilobyte = milliseconds(1);
    /// Added for upstreams whose load is not known, so that upstreams known to be idle are
    /// preferred.
    Duration unknownLoadPenalty = milliseconds(20);
    /// Service time that is assumed for an upstream until it has completed a request.
    Duration defaultServiceTime = milliseconds(100);
    /// Number of upstreams that are compared for each request.
    size_t sampleSize = 3;
};

/// Compares a few randomly sampled upstreams, so that entry instances with the same outdated load
/// reports do not all choose the same upstream. Stays in the preferred region unless no upstream
/// there is predicted to meet the deadline.
class PredictiveRouting : public RoutingStrategy
{
public:
    explicit PredictiveRouting(PredictionCosts costs = {}) : costs(costs) {}

    const Candidate *choose(const CandidateRefs &candidates, const RouteQuery &query, Instant now,
                            std::mt19937_64 &random) const override;
    std::string_view name() const override { return "predictive"; }

    /// Predicted time from dispatch to the complete answer, without the cost of the link between
    /// regions.
    Duration predict(const Candidate &candidate, const RouteQuery &query, Instant now) const;

private:
    Duration cost(const Candidate &candidate, const RouteQuery &query, Instant now) const;
    const Candidate *chooseLowestCost(const CandidateRefs &candidates, const RouteQuery &query,
                                      Instant now, std::mt19937_64 &random) const;

    const PredictionCosts costs;
};

} // namespace tray
