// Remembers which witnesses were told what began which streams. A witness keeps that in memory
// only, so one that has restarted is told again by the gateway that told it.
#pragma once

#include "base/Time.h"
#include "fleet/WitnessSelection.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace tray {

/// Bounded table of streams and their witnesses; the oldest streams are evicted first. Does no I/O:
/// events and times are arguments.
class WitnessLedger
{
public:
    /// Streams that are kept at most; as many as a process keeps the origins of.
    static constexpr size_t MaxStreams = 30000;
    /// Time after its last sign of life for which the incarnation of a witness is remembered.
    static constexpr Duration WitnessMemory = std::chrono::minutes(2);

    /// Records that witnesses were told of a stream that callers may take up until expiresAt, in
    /// place of an earlier record of the same stream.
    void noteTold(uint64_t stream, const Witnesses &witnesses, Instant expiresAt, Instant now);
    /// Handles a sign of life of a steward. Returns the streams that it must be told again, because
    /// it was told of them in an earlier incarnation. An incarnation of 0 is not known.
    std::vector<uint64_t> noteSteward(const Address &address, uint64_t incarnation, Instant now);
    /// The same for a peer gateway. Streams with fewer peers as witnesses than are told of a new
    /// one are included: the peer may not have been known when they began.
    std::vector<uint64_t> notePeer(const std::string &peer, uint64_t incarnation, Instant now);
    bool contains(uint64_t stream) const { return this->streams.contains(stream); }
    size_t size() const { return this->streams.size(); }

private:
    struct Told
    {
        // Digests of the witnesses.
        std::vector<uint64_t> witnesses;
        size_t peers = 0;
        Instant expiresAt{};
    };

    struct Incarnation
    {
        uint64_t incarnation = 0;
        Instant heardAt{};
    };

    /// Records the incarnation of a witness. Returns whether it is a new one.
    bool isRestart(uint64_t witness, uint64_t incarnation, Instant now);
    void evict(Instant now);

    std::unordered_map<uint64_t, Told> streams;
    // Streams in the order in which they were first recorded. Invariant: the same keys as streams.
    std::deque<uint64_t> order;
    // Present incarnations of all witnesses that were heard of, by digest.
    std::unordered_map<uint64_t, Incarnation> incarnations;
};

} // namespace tray
