// Operations of a claim shard that wait for a commit.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tray {

enum class ClaimOperationKind { Begin, Finish, Release };

/// One event of a claim with those who wait for its reply.
struct ClaimOperation
{
    ClaimOperationKind kind = ClaimOperationKind::Begin;
    /// Key, claim id and, depending on the kind, body digest or answer.
    proto::ClaimRecord record;
    std::vector<uint64_t> waiters;
    Instant since;
    /// Part of a head write whose result is not known yet.
    bool inWrite = false;
    /// Part of an earlier head write that may still take effect.
    bool mayBeWritten = false;
};

using ClaimOperationPtr = std::shared_ptr<ClaimOperation>;

/// Operations in the order of their arrival. An operation that was taken into a write stays known
/// by its key until it is forgotten.
class ClaimQueue
{
public:
    bool isEmpty() const { return this->waiting.empty(); }
    /// No operation is known, neither waiting nor in a write.
    bool isIdle() const { return this->byKey.empty(); }
    /// Size of all known operations.
    size_t bytes() const { return this->totalBytes; }

    void add(ClaimOperationKind kind, proto::ClaimRecord record, uint64_t waiter, Instant now);
    ClaimOperationPtr find(ClaimOperationKind kind, const std::string &key) const;
    ClaimOperationPtr front() const { return this->waiting.front(); }
    /// Takes the first operation into a write, or for its reply.
    void takeFront() { this->waiting.pop_front(); }
    /// Puts an operation back whose write did not commit it.
    void putBack(ClaimOperationPtr operation);
    /// Takes all waiting operations out; those to be kept are put back in reverse order.
    std::deque<ClaimOperationPtr> takeAll() { return std::exchange(this->waiting, {}); }
    /// Removes a waiting operation.
    void remove(const ClaimOperationPtr &operation);
    /// Ends an operation that was taken.
    void forget(const ClaimOperationPtr &operation);

private:
    std::deque<ClaimOperationPtr> waiting;
    // Invariant: holds each operation that was added and not forgotten; totalBytes is their size.
    std::unordered_multimap<std::string, ClaimOperationPtr> byKey;
    size_t totalBytes = 0;
};

} // namespace tray
