// Map of sealed periods.
#include "claims/SealedPeriods.h"

#include <algorithm>
#include <set>

namespace tray {

void SealedPeriods::add(uint64_t number, const Records &records, uint64_t objectVersion)
{
    Period period;
    period.objectVersion = objectVersion;
    for (const proto::ClaimRecord &record : records)
        period.newestClaim = std::max<WallMs>(period.newestClaim, record.claimed_at_ms());
    this->periods[number] = period;
}

int SealedPeriods::countExpired(const Numbers &listed, WallMs wall, int limit) const
{
    int count = 0;
    for (const uint64_t number : listed) {
        const auto period = this->periods.find(number);
        if (count == limit || period == this->periods.end() ||
            period->second.newestClaim + this->retentionMs > wall)
            break;
        ++count;
    }
    return count;
}

uint64_t SealedPeriods::remove(uint64_t number)
{
    const auto period = this->periods.find(number);
    if (period == this->periods.end())
        return 0;
    const uint64_t objectVersion = period->second.objectVersion;
    this->periods.erase(period);
    return objectVersion;
}

void SealedPeriods::retain(const Numbers &listed)
{
    const std::set<uint64_t> kept(listed.begin(), listed.end());
    std::erase_if(this->periods, [&](const auto &entry) { return !kept.contains(entry.first); });
}

} // namespace tray
