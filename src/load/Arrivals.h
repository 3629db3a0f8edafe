// Generates the arrival times of the requests of one flow, and chooses their models: a seeded
// Poisson process with periodic bursts.
#pragma once

#include "base/Time.h"

#include "settings_load.pb.h"

#include <boost/random/mersenne_twister.hpp>
#include <string>
#include <vector>

namespace tray {

/// Arrival process of a flow. The same seed gives the same sequence.
class Arrivals
{
public:
    Arrivals(const proto::LoadFlowSection &flow, uint64_t seed);

    /// Returns the intended time of the next request as an offset from the start of the run.
    /// Offsets never decrease. After the end of the flow, returns the maximum of Duration.
    Duration next();
    /// Chooses the model of a request that is sent at the offset; empty for service calls.
    std::string chooseModel(Duration offset);

private:
    double rateAt(double seconds) const;

    const proto::LoadFlowSection flow;
    boost::random::mt19937_64 random;
    std::vector<std::string> models;
    // Cumulative share of requests up to and including each popularity rank; the last is 1.
    std::vector<double> cumulativeShares;
    double maxRate;
    // Offset of the latest candidate from the start of the run, in s.
    double offsetSeconds;
    uint32_t arrivalCount = 0;
};

} // namespace tray
