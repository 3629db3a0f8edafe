// Tracks the smoothed demand for each model and adapter by region.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <map>
#include <string>
#include <string_view>

namespace tray {

/// Request and token rates as exponentially weighted averages.
class DemandTracker
{
public:
    using RegionRates = std::map<std::string, double, std::less<>>;

    /// Time in which samples lose 63% of their weight: short enough to follow a burst, long enough
    /// that single requests do not cause moves.
    static constexpr Duration TimeConstant = std::chrono::seconds(20);

    void add(const proto::Demand &demand, Instant now);
    /// Tokens per second for a model or adapter, in each region with demand.
    RegionRates tokenRatesByRegion(std::string_view name, Instant now) const;
    /// Tokens per second for a model or adapter, over all regions.
    double tokenRate(std::string_view name, Instant now) const;
    /// Requests per second for a model or adapter, over all regions.
    double requestRate(std::string_view name, Instant now) const;
    /// Removes the entries whose demand has decayed to almost zero.
    void purge(Instant now);

private:
    struct Rate
    {
        // Decayed sums at the time of the last sample.
        double requests = 0;
        double tokens = 0;
        Instant updatedAt{};
    };
    using Regions = std::map<std::string, Rate, std::less<>>;

    static double decay(const Rate &rate, Instant now);

    std::map<std::string, Regions, std::less<>> rates;
};

} // namespace tray
