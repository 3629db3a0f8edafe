// Smoothed demand for each model, adapter and region.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <map>
#include <string>
#include <string_view>

namespace tray {

/// Exponentially weighted rates of requests and tokens.
class DemandTracker
{
public:
    using RegionRates = std::map<std::string, double, std::less<>>;

    /// Samples lose 63% of their weight in this time: short enough to follow a burst, long enough
    /// that single requests do not cause moves.
    static constexpr Duration Memory = std::chrono::seconds(20);

    void add(const proto::Demand &demand, Instant now);
    /// Tokens a second for a name in each region with demand.
    RegionRates tokensByRegion(std::string_view name, Instant now) const;
    /// Tokens a second for a name in all regions.
    double tokens(std::string_view name, Instant now) const;
    /// Requests a second for a name in all regions.
    double requests(std::string_view name, Instant now) const;
    /// Forgets what has faded away.
    void purge(Instant now);

private:
    struct Rate
    {
        // Decayed sums as of the last sample.
        double requests = 0;
        double tokens = 0;
        Instant at{};
    };
    using Regions = std::map<std::string, Rate, std::less<>>;

    static double decay(const Rate &rate, Instant now);

    std::map<std::string, Regions, std::less<>> rates;
};

} // namespace tray
