// The next head of a claim shard, the operations that it commits and the replies to them.
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

/// Builds the next head from the committed one by deciding on operations in order.
class ClaimHeadWrite
{
public:
    using Replies = std::vector<std::pair<ClaimOperationPtr, proto::ClaimReply>>;

    ClaimHeadWrite() = default;
    /// Starts from the committed head. If a sealed version is given, the head's records are stored
    /// in the sealed period of that version and are removed from the head.
    ClaimHeadWrite(proto::ClaimShardHead committed, std::optional<uint64_t> sealedVersion);

    proto::ClaimShardHead &head() { return this->newHead; }
    const proto::ClaimShardHead &head() const { return this->newHead; }
    /// Removes the oldest sealed periods from the head.
    void dropSealedPeriods(int count);
    /// Decides on an operation. Returns false if its record would exceed the limit.
    bool add(const ClaimOperationPtr &operation, const ClaimTable &table, WallMs wall,
             size_t limitBytes);

    /// Operations to reply to once the head is committed.
    const Replies &repliesAfterCommit() const { return this->committedReplies; }
    /// Operations that need no record and depend on none of this write; they are replied to now.
    Replies takeImmediateReplies() { return std::exchange(this->immediateReplies, {}); }
    /// Records that this head adds or changes, in the order of their decisions.
    const std::vector<proto::ClaimRecord> &records() const { return this->newRecords; }
    /// Versions of the sealed periods that this head no longer lists.
    const std::vector<uint64_t> &droppedVersions() const { return this->droppedSealedVersions; }

private:
    void put(const proto::ClaimRecord &record);

    proto::ClaimShardHead newHead;
    // Invariant: positions holds the index of each key's record in the head.
    std::unordered_map<std::string, int> positions;
    std::unordered_set<std::string> changedKeys;
    size_t bytes = 0;
    Replies committedReplies;
    Replies immediateReplies;
    std::vector<proto::ClaimRecord> newRecords;
    std::vector<uint64_t> droppedSealedVersions;
};

} // namespace tray
