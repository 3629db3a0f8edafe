#include "placement/DemandTracker.h"

#include <cmath>

namespace tray {

namespace {

// Entries whose decayed sum of requests is below this are removed.
constexpr double MinRequestSum = 0.01;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double DemandTracker::decay(const Rate &rate, Instant now)
{
    return now <= rate.updatedAt ? 1
                                 : std::exp(-seconds(now - rate.updatedAt) / seconds(TimeConstant));
}

void DemandTracker::add(const proto::Demand &demand, Instant now)
{
    Rate &rate = this->rates[demand.name()][demand.region()];
    const double factor = decay(rate, now);
    rate.requests = rate.requests * factor + demand.requests();
    rate.tokens = rate.tokens * factor + demand.tokens();
    rate.updatedAt = std::max(rate.updatedAt, now);
}

DemandTracker::RegionRates DemandTracker::tokenRatesByRegion(std::string_view name,
                                                             Instant now) const
{
    RegionRates byRegion;
    const auto found = this->rates.find(name);
    if (found == this->rates.end())
        return byRegion;
    for (const auto &[region, rate] : found->second)
        byRegion[region] = rate.tokens * decay(rate, now) / seconds(TimeConstant);
    return byRegion;
}

double DemandTracker::tokenRate(std::string_view name, Instant now) const
{
    double sum = 0;
    for (const auto &[region, rate] : this->tokenRatesByRegion(name, now))
        sum += rate;
    return sum;
}

double DemandTracker::requestRate(std::string_view name, Instant now) const
{
    const auto found = this->rates.find(name);
    if (found == this->rates.end())
        return 0;
    double sum = 0;
    for (const auto &[region, rate] : found->second)
        sum += rate.requests * decay(rate, now) / seconds(TimeConstant);
    return sum;
}

void DemandTracker::purge(Instant now)
{
    for (auto &[name, regions] : this->rates) {
        std::erase_if(regions, [&](const auto &entry) {
            return entry.second.requests * decay(entry.second, now) < MinRequestSum;
        });
    }
    std::erase_if(this->rates, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace tray
