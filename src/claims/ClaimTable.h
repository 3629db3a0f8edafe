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
    /// A sealed period holds a record from now on: its answer leaves memory and is read there.
    void moveToPeriod(const proto::ClaimRecord &record, uint64_t period);
    /// Period that holds the answer of a finished claim; 0 if the answer is in memory.
    uint64_t periodOf(const std::string &key, const std::string &claimId) const;
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
    struct Entry
    {
        proto::ClaimRecord record;
        uint64_t period = 0;
    };

    std::unordered_map<std::string, Entry> records;
};

} // namespace tray
