// Sealed periods whose records an owner holds in memory.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <cstdint>
#include <map>

namespace tray {

/// Ages of sealed periods, by the head version whose records a period holds.
class SealedPeriods
{
public:
    using Records = google::protobuf::RepeatedPtrField<proto::ClaimRecord>;
    using Numbers = google::protobuf::RepeatedField<uint64_t>;

    explicit SealedPeriods(uint64_t retentionMs) : retentionMs(retentionMs) {}

    /// Adds a period; the object version is 0 if it is not known.
    void add(uint64_t number, const Records &records, uint64_t objectVersion);
    bool contains(uint64_t number) const { return this->periods.contains(number); }
    /// Number of periods at the head of the list whose records have all left the retention; bounded
    /// by the limit. Periods leave in the order of their commits, so that a record never outlives
    /// one that replaced it.
    int countExpired(const Numbers &listed, WallMs wall, int limit) const;
    /// Forgets a period and returns its object version.
    uint64_t remove(uint64_t number);
    /// Forgets all periods that are not listed.
    void retain(const Numbers &listed);

private:
    struct Period
    {
        WallMs newestClaim = 0;
        uint64_t objectVersion = 0;
    };

    const uint64_t retentionMs;
    std::map<uint64_t, Period> periods;
};

} // namespace tray
