// Queue of the operations of a claim shard that wait for a commit.
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

/// One request about a claim and the waiters for its reply.
struct ClaimOperation
{
    ClaimOperationKind kind = ClaimOperationKind::Begin;
    /// Key, claim id and, depending on the kind, body digest or answer.
    proto::ClaimRecord record;
    std::vector<uint64_t> waiters;
    Instant queuedAt;
    /// Whether it is part of a head write that is in flight.
    bool inWrite = false;
    /// Whether it was part of an earlier head write that may still take effect.
    bool mayBeWritten = false;
};

using ClaimOperationPtr = std::shared_ptr<ClaimOperation>;

/// Holds operations in the order of their arrival. An operation that was taken into a write can
/// still be found by its key until it is forgotten.
class ClaimQueue
{
public:
    bool isEmpty() const { return this->waiting.empty(); }
    /// Whether there is no operation, neither waiting nor in a write.
    bool isIdle() const { return this->byKey.empty(); }
    /// Size of all operations, waiting or in a write.
    size_t bytes() const { return this->totalBytes; }

    void add(ClaimOperationKind kind, proto::ClaimRecord record, uint64_t waiter, Instant now);
    ClaimOperationPtr find(ClaimOperationKind kind, const std::string &key) const;
    ClaimOperationPtr front() const { return this->waiting.front(); }
    /// Removes the first operation from the waiting ones, to write it or to reply to it.
    void takeFront() { this->waiting.pop_front(); }
    /// Puts back an operation that its write did not commit.
    void putBack(ClaimOperationPtr operation);
    /// Takes all waiting operations; those to be kept must be put back in reverse order.
    std::deque<ClaimOperationPtr> takeAll() { return std::exchange(this->waiting, {}); }
    /// Removes a waiting operation.
    void remove(const ClaimOperationPtr &operation);
    /// Removes an operation that was taken from the index by key.
    void forget(const ClaimOperationPtr &operation);

private:
    std::deque<ClaimOperationPtr> waiting;
    // Invariant: holds each operation that was added and not forgotten; totalBytes is the sum of
    // their sizes.
    std::unordered_multimap<std::string, ClaimOperationPtr> byKey;
    size_t totalBytes = 0;
};

} // namespace tray
