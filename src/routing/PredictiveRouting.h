// Strategy that chooses the lowest predicted time to the whole answer.
#pragma once

#include "routing/RoutingStrategy.h"

namespace tray {

/// Constants of the prediction.
struct PredictionCosts
{
    /// Round trips by distance; that of the region link is two times 30 ms.
    Duration dataCentreRoundTrip = std::chrono::microseconds(200);
    Duration regionRoundTrip = milliseconds(3);
    Duration linkRoundTrip = milliseconds(60);
    /// Price of the region link, expressed as time: it carries 30 Mbit/s and is billed by volume.
    Duration linkPricePerKilobyte = milliseconds(1);
    /// Added for upstreams whose load is not known, so that known idle ones go first.
    Duration unknownLoad = milliseconds(20);
    /// Service time of a request before any answer has been seen.
    Duration unknownService = milliseconds(100);
    /// Upstreams that are compared for each request.
    size_t sampleSize = 3;
};

/// Compares a few upstreams taken at random, so that entry instances with the same lagging reports
/// do not all choose the same one. Stays in the home region unless nothing there is predicted to
/// meet the deadline.
class PredictiveRouting : public RoutingStrategy
{
public:
    explicit PredictiveRouting(PredictionCosts costs = {}) : costs(costs) {}

    const Candidate *choose(const CandidateRefs &candidates, const RouteQuery &query, Instant now,
                            std::mt19937_64 &random) const override;
    std::string_view name() const override { return "predictive"; }

    /// Predicted time from dispatch to the whole answer, without the price of the link.
    Duration predict(const Candidate &candidate, const RouteQuery &query, Instant now) const;

private:
    Duration cost(const Candidate &candidate, const RouteQuery &query, Instant now) const;
    const Candidate *lowest(const CandidateRefs &candidates, const RouteQuery &query, Instant now,
                            std::mt19937_64 &random) const;

    const PredictionCosts costs;
};

} // namespace tray
