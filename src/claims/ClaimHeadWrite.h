// The next head of a claim shard and the operations that it commits.
#pragma once

#include "claims/ClaimQueue.h"
#include "claims/ClaimTable.h"

#include "control.pb.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace tray {

/// Builds a head on top of the committed one by deciding on operations in order.
class ClaimHeadWrite
{
public:
    using Answered = std::vector<std::pair<ClaimOperationPtr, proto::ClaimReply>>;

    ClaimHeadWrite() = default;
    /// Starts from the committed head. A sealed version says that its records are stored in a
    /// sealed period and leave the head.
    ClaimHeadWrite(proto::ClaimShardHead committed, std::optional<uint64_t> sealedVersion);

    proto::ClaimShardHead &head() { return this->newHead; }
    const proto::ClaimShardHead &head() const { return this->newHead; }
    /// Takes the oldest sealed periods off the head.
    void dropPeriods(int count);
    /// Decides on an operation; false if its record does not fit into the limit.
    bool add(const ClaimOperationPtr &operation, const ClaimTable &table, WallMs wall,
             size_t limitBytes);

    /// Operations to answer once the head is committed.
    const Answered &committing() const { return this->afterCommit; }
    /// Operations that need no record and depend on none of this write: to answer now.
    Answered takeSettled() { return std::exchange(this->settled, {}); }
    /// Records that are new in this head, in the order of their decisions.
    const std::vector<proto::ClaimRecord> &records() const { return this->newRecords; }
    const std::vector<uint64_t> &droppedPeriods() const { return this->dropped; }

private:
    void put(const proto::ClaimRecord &record);

    proto::ClaimShardHead newHead;
    // Invariant: positions holds the place of each key among the head's records.
    std::unordered_map<std::string, int> positions;
    std::unordered_set<std::string> changed;
    size_t bytes = 0;
    Answered afterCommit;
    Answered settled;
    std::vector<proto::ClaimRecord> newRecords;
    std::vector<uint64_t> dropped;
};

} // namespace tray
