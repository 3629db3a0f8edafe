// Generates the arrivals by thinning: candidates arrive at the maximum rate, and each is kept with
// a probability of the current rate divided by the maximum rate.
#include "load/Arrivals.h"

#include "load/Scenario.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace tray {

Arrivals::Arrivals(const proto::LoadFlowSection &flow, uint64_t seed)
    : flow(flow), random(seed), models(splitCommas(flow.models())),
      maxRate(flow.rate() * (flow.burst_every_s() > 0 ? std::max(1.0, flow.burst_factor()) : 1.0)),
      offsetSeconds(flow.start_s())
{
    double sum = 0;
    for (size_t rank = 0; rank < this->models.size(); ++rank)
        this->cumulativeShares.push_back(sum += 1 / std::pow(double(rank + 1), flow.skew()));
    for (double &share : this->cumulativeShares)
        share /= sum;
}

double Arrivals::rateAt(double seconds) const
{
    if (this->flow.burst_every_s() <= 0)
        return this->flow.rate();
    // The first burst starts one burst interval after the start of the flow.
    const double flowSeconds = seconds - this->flow.start_s();
    const bool inBurst =
        flowSeconds >= this->flow.burst_every_s() &&
        std::fmod(flowSeconds, this->flow.burst_every_s()) < this->flow.burst_length_s();
    return this->flow.rate() * (inBurst ? this->flow.burst_factor() : 1.0);
}

Duration Arrivals::next()
{
    constexpr auto Never = Duration::max();
    if (this->maxRate <= 0 || (this->flow.limit() > 0 && this->arrivalCount >= this->flow.limit()))
        return Never;
    boost::random::exponential_distribution<double> interarrivalTime(this->maxRate);
    boost::random::uniform_01<double> uniform;
    do {
        this->offsetSeconds += interarrivalTime(this->random);
        if (this->offsetSeconds >= this->flow.stop_s())
            return Never;
    } while (uniform(this->random) * this->maxRate > this->rateAt(this->offsetSeconds));
    ++this->arrivalCount;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->offsetSeconds));
}

std::string Arrivals::chooseModel(Duration offset)
{
    if (this->models.empty())
        return "";
    const double drawn = boost::random::uniform_01<double>()(this->random);
    size_t rank =
        std::lower_bound(this->cumulativeShares.begin(), this->cumulativeShares.end(), drawn) -
        this->cumulativeShares.begin();
    if (this->flow.rotate_s() > 0) {
        const double elapsed = std::chrono::duration<double>(offset).count();
        rank += static_cast<size_t>(elapsed / this->flow.rotate_s());
    }
    return this->models[rank % this->models.size()];
}

} // namespace tray
