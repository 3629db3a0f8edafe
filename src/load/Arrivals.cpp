// Arrivals by thinning: candidates at the highest rate, each kept with the share of the present
// rate.
#include "load/Arrivals.h"

#include "load/Scenario.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace tray {

Arrivals::Arrivals(const proto::LoadFlowSection &flow, uint64_t seed)
    : flow(flow), random(seed), models(splitCommas(flow.models())),
      highestRate(flow.rate() *
                  (flow.burst_every_s() > 0 ? std::max(1.0, flow.burst_factor()) : 1.0)),
      seconds(flow.start_s())
{
    double sum = 0;
    for (size_t rank = 0; rank < this->models.size(); ++rank)
        this->shares.push_back(sum += 1 / std::pow(double(rank + 1), flow.skew()));
    for (double &share : this->shares)
        share /= sum;
}

double Arrivals::rateAt(double seconds) const
{
    if (this->flow.burst_every_s() <= 0)
        return this->flow.rate();
    // The first burst starts one interval after the flow.
    const double since = seconds - this->flow.start_s();
    const bool inBurst = since >= this->flow.burst_every_s() &&
                         std::fmod(since, this->flow.burst_every_s()) < this->flow.burst_length_s();
    return this->flow.rate() * (inBurst ? this->flow.burst_factor() : 1.0);
}

Duration Arrivals::next()
{
    constexpr auto Never = Duration::max();
    if (this->highestRate <= 0 || (this->flow.limit() > 0 && this->produced >= this->flow.limit()))
        return Never;
    boost::random::exponential_distribution<double> gap(this->highestRate);
    boost::random::uniform_01<double> uniform;
    do {
        this->seconds += gap(this->random);
        if (this->seconds >= this->flow.stop_s())
            return Never;
    } while (uniform(this->random) * this->highestRate > this->rateAt(this->seconds));
    ++this->produced;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->seconds));
}

std::string Arrivals::chooseModel(Duration offset)
{
    if (this->models.empty())
        return "";
    const double drawn = boost::random::uniform_01<double>()(this->random);
    size_t rank =
        std::lower_bound(this->shares.begin(), this->shares.end(), drawn) - this->shares.begin();
    if (this->flow.rotate_s() > 0) {
        const double elapsed = std::chrono::duration<double>(offset).count();
        rank += static_cast<size_t>(elapsed / this->flow.rotate_s());
    }
    return this->models[rank % this->models.size()];
}

} // namespace tray
