// Seeded arrival process of one flow: Poisson with periodic bursts, and the choice of models.
#pragma once

#include "base/Time.h"

#include "settings_load.pb.h"

#include <boost/random/mersenne_twister.hpp>
#include <string>
#include <vector>

namespace tray {

/// Gives the intended times of a flow's requests. The same seed gives the same sequence.
class Arrivals
{
public:
    Arrivals(const proto::LoadFlowSection &flow, uint64_t seed);

    /// Offset of the next request from the start of the run, never lower than the last one. Past
    /// the flow's end there is none: the maximum of Duration.
    Duration next();
    /// Model of a request that is sent at the offset; empty for service calls.
    std::string chooseModel(Duration offset);

private:
    double rateAt(double seconds) const;

    const proto::LoadFlowSection flow;
    boost::random::mt19937_64 random;
    std::vector<std::string> models;
    // Cumulated share of each popularity rank; the last is 1.
    std::vector<double> shares;
    double highestRate;
    double seconds;
    uint32_t produced = 0;
};

} // namespace tray
