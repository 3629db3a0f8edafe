// Committed records of a claim shard, by key.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <string>
#include <unordered_map>

namespace tray {

/// The newest committed record of each key within the retention.
class ClaimTable
{
public:
    explicit ClaimTable(uint64_t retentionMs) : retentionMs(retentionMs) {}

    /// Applies a committed record; records are applied in the order of their commits.
    void apply(const proto::ClaimRecord &record);
    /// Record of a key; null if there is none within the retention.
    const proto::ClaimRecord *find(const std::string &key, WallMs wall) const;
    /// Forgets the records that have left the retention; walks the table at most once a second.
    void purge(WallMs wall);
    bool isExpired(WallMs claimedAt, WallMs wall) const
    {
        return claimedAt + this->retentionMs <= wall;
    }
    size_t size() const { return this->records.size(); }

private:
    const uint64_t retentionMs;
    WallMs lastPurge = 0;
    std::unordered_map<std::string, proto::ClaimRecord> records;
};

} // namespace tray
