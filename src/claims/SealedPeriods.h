// The sealed periods whose records an owner holds in memory.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <cstdint>
#include <map>

namespace tray {

/// Tracks when sealed periods expire. The number of a period is the version of the head whose
/// records it holds.
class SealedPeriods
{
public:
    using Records = google::protobuf::RepeatedPtrField<proto::ClaimRecord>;
    using Numbers = google::protobuf::RepeatedField<uint64_t>;

    explicit SealedPeriods(uint64_t retentionMs) : retentionMs(retentionMs) {}

    /// Adds a period. The object version is 0 if it is unknown.
    void add(uint64_t number, const Records &records, uint64_t objectVersion);
    bool contains(uint64_t number) const { return this->periods.contains(number); }
    /// Returns the number of periods at the front of the list whose records have all expired, at
    /// most the limit. Periods are dropped in the order of their commits, so that a record never
    /// outlives one that replaced it.
    int countExpired(const Numbers &listedNumbers, WallMs wall, int limit) const;
    /// Removes a period and returns its object version; 0 if either is unknown.
    uint64_t remove(uint64_t number);
    /// Removes all periods that are not listed.
    void retain(const Numbers &listedNumbers);

private:
    struct Period
    {
        WallMs newestClaimAt = 0;
        uint64_t objectVersion = 0;
    };

    const uint64_t retentionMs;
    std::map<uint64_t, Period> periods;
};

} // namespace tray
