// Hash table of committed claim records.
#include "claims/ClaimTable.h"

namespace tray {

namespace {

constexpr WallMs PurgeIntervalMs = 1000;

}

void ClaimTable::apply(const proto::ClaimRecord &record)
{
    this->records[record.key()] = record;
}

const proto::ClaimRecord *ClaimTable::find(const std::string &key, WallMs wall) const
{
    const auto found = this->records.find(key);
    if (found == this->records.end() || this->isExpired(found->second.claimed_at_ms(), wall))
        return nullptr;
    return &found->second;
}

void ClaimTable::purge(WallMs wall)
{
    if (wall < this->lastPurge + PurgeIntervalMs)
        return;
    this->lastPurge = wall;
    std::erase_if(this->records, [&](const auto &entry) {
        return this->isExpired(entry.second.claimed_at_ms(), wall);
    });
}

} // namespace tray
