// Remembers which calls a client has sent to which peers, and on which connections. A peer may send
// the copy of an answer late; only a call whose id it has not been sent before is known not to get
// such a copy.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace tray {

/// The calls of one client that have an id. A call is named by a hash of its peer and its id. Not
/// thread-safe.
class SentCalls
{
public:
    /// Time for which a call is remembered; several times the time that callers wait for an answer.
    static constexpr Duration Lifetime = std::chrono::minutes(2);
    /// Maximum number of calls that are remembered, so that they take a few MB at most.
    static constexpr size_t MaxCalls = 32768;

    /// Records that a call is about to be sent on a connection, and forgets the oldest ones.
    void record(uint64_t call, uint64_t connection, Instant now);
    /// Returns whether the call has been sent, on any connection.
    bool contains(uint64_t call) const { return this->connectionsByCall.contains(call); }
    /// Returns whether the call has been sent on the connection.
    bool contains(uint64_t call, uint64_t connection) const;
    /// Returns the time of the last call that was forgotten. A connection that was open by then may
    /// have carried a call that is not remembered.
    Instant forgottenUntil() const { return this->lastForgottenAt; }

private:
    struct SentCall
    {
        Instant at;
        uint64_t call = 0;
        uint64_t connection = 0;
    };

    void forgetFirst();

    // Invariant: contains the pairs of the queue, and no others.
    std::unordered_multimap<uint64_t, uint64_t> connectionsByCall;
    // In the order of their times. Invariant: at most MaxCalls.
    std::deque<SentCall> calls;
    Instant lastForgottenAt = Instant::min();
};

} // namespace tray
