// Counts engine crashes per request content, over all entry instances and engines.
//
// A suspect is a request that was running when an engine died and is suspected of crashing
// upstreams. It is identified by the digest of its content.
#pragma once

#include "base/Time.h"

#include "suspects.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Bounded table of suspects. Processes exchange and merge their tables.
class SuspectTable
{
public:
    /// Time for which a suspect is kept after its last crash.
    static constexpr Duration SuspectLifetime = std::chrono::minutes(10);
    /// Time for which a change is sent to neighbours. It covers several polls, so that a lost
    /// message does not lose the change.
    static constexpr Duration PropagationTime = std::chrono::seconds(5);
    /// Two reports about one upstream within this time count as one crash: both its agent and the
    /// entry instance report it, and a crashed engine takes longer to restart.
    static constexpr Duration CrashDedupWindow = std::chrono::seconds(5);
    /// Above this number of suspects, the least recently changed one is evicted.
    static constexpr size_t MaxSuspects = 1000;
    /// Most crashed upstreams that are listed for one suspect.
    static constexpr size_t MaxListedUpstreams = 16;

    /// Counts a crash of an upstream while it executed the request. Returns false if this crash was
    /// already counted.
    bool recordCrash(uint64_t contentDigest, const std::string &upstream, Instant now);
    /// Records that an upstream has completed the request, which refutes the suspicion: the crashes
    /// counted so far are void here and, once merged, in the other processes. Returns false if the
    /// request was no suspect.
    bool recordCompletion(uint64_t contentDigest, Instant now);
    /// Merges a suspect received from a neighbour. Idempotent: returns false if nothing changed.
    bool merge(const proto::Suspect &suspect, Instant now);
    /// Number of crashes counted for a request.
    uint32_t crashCount(uint64_t contentDigest, Instant now) const;
    /// Time until the suspect expires; zero if it is not in the table.
    Duration timeLeft(uint64_t contentDigest, Instant now) const;
    /// The suspect with this digest as a message; without crashes if it is not in the table.
    proto::Suspect find(uint64_t contentDigest, Instant now) const;
    /// Suspects that changed within PropagationTime; with all set, every suspect, for a neighbour
    /// that has none yet.
    std::vector<proto::Suspect> recentChanges(Instant now, bool all) const;
    void expire(Instant now);

private:
    struct Row
    {
        uint32_t crashes = 0;
        // Crashed upstreams, with the time of the last crash that this process knows of.
        std::map<std::string, Instant> upstreams;
        Instant expiresAt{};
        Instant changedAt{};
        // Time of the completion that voided earlier crashes. Invariant: crashes is 0 if set.
        std::optional<Instant> clearedAt;
    };

    static proto::Suspect toMessage(uint64_t contentDigest, const Row &row, Instant now);
    static bool mergeCompletion(Row &row, Instant clearedAt, Instant now);
    void evictExcess();

    std::map<uint64_t, Row> rows;
};

} // namespace tray
