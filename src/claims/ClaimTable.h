// Committed records of a claim shard, by key.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <string>
#include <unordered_map>

namespace tray {

/// Holds the newest committed record of each key within the retention time.
class ClaimTable
{
public:
    explicit ClaimTable(uint64_t retentionMs) : retentionMs(retentionMs) {}

    /// Applies a committed record. Records must be applied in the order of their commits.
    void apply(const proto::ClaimRecord &record);
    /// Records that a sealed period now holds a record, and frees the record's answer, which is
    /// read from the period from now on.
    void moveToPeriod(const proto::ClaimRecord &record, uint64_t period);
    /// Returns the period that holds the answer of a finished claim; 0 if the answer is in memory.
    uint64_t periodOf(const std::string &key, const std::string &claimId) const;
    /// Returns the record of a key; null if there is none within the retention time.
    const proto::ClaimRecord *find(const std::string &key, WallMs wall) const;
    /// Removes the expired records; scans the table at most once per second.
    void purge(WallMs wall);
    bool isExpired(WallMs claimedAt, WallMs wall) const
    {
        return claimedAt + this->retentionMs <= wall;
    }
    size_t size() const { return this->records.size(); }

private:
    const uint64_t retentionMs;
    WallMs lastPurgeAt = 0;
    struct Entry
    {
        proto::ClaimRecord record;
        uint64_t period = 0;
    };

    std::unordered_map<std::string, Entry> records;
};

} // namespace tray
