// Stores the sealed periods in a map and counts the expired ones.
#include "claims/SealedPeriods.h"

#include <algorithm>
#include <set>

namespace tray {

void SealedPeriods::add(uint64_t number, const Records &records, uint64_t objectVersion)
{
    Period period;
    period.objectVersion = objectVersion;
    for (const proto::ClaimRecord &record : records)
        period.newestClaimAt = std::max<WallMs>(period.newestClaimAt, record.claimed_at_ms());
    this->periods[number] = period;
}

int SealedPeriods::countExpired(const Numbers &listedNumbers, WallMs wall, int limit) const
{
    int count = 0;
    for (const uint64_t number : listedNumbers) {
        const auto period = this->periods.find(number);
        if (count == limit || period == this->periods.end() ||
            period->second.newestClaimAt + this->retentionMs > wall)
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

void SealedPeriods::retain(const Numbers &listedNumbers)
{
    const std::set<uint64_t> kept(listedNumbers.begin(), listedNumbers.end());
    std::erase_if(this->periods, [&](const auto &entry) { return !kept.contains(entry.first); });
}

} // namespace tray
