// Counts crashes of upstreams per suspect, over all entry instances and upstreams.
//
// A suspect is what a request can be recognised by when it comes again: its complete content, or a
// part of its prompt that other requests share. It is suspected if a request with it was running
// when an upstream crashed, and identified by a digest.
#pragma once

#include "base/Time.h"

#include "suspects.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// What is known of a request whose upstream crashed.
struct CrashEvidence
{
    /// Time at which the request was sent, if known.
    std::optional<Instant> sentAt;
    /// Whether no other suspect explains the crash.
    bool isIsolated = false;
};

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
    /// Above this number of suspects, one of those with the fewest crashes is evicted.
    static constexpr size_t MaxSuspects = 1000;
    /// Most crashed upstreams that are listed for one suspect.
    static constexpr size_t MaxListedUpstreams = 16;
    /// Time from a suspect's last crash to its first probe; doubles with each further probe.
    static constexpr Duration ProbeDelay = std::chrono::seconds(15);
    /// As ProbeDelay, from the first probe to the second one, of a suspect whose crashes may all be
    /// due to another suspect. The first probe is due at once.
    static constexpr Duration QuickProbeDelay = std::chrono::seconds(1);

    /// Crashes of a suspect, as far as this process knows.
    struct Count
    {
        /// Distinct crashes of upstreams.
        uint32_t crashes = 0;
        /// Crashes under requests that were sent after the previous crash had been counted. Unlike
        /// crashes at the same time, these are unlikely to have a common cause elsewhere.
        uint32_t rounds = 0;
        /// Requests that were sent since to find out whether the suspicion still holds.
        uint32_t probes = 0;
        /// Time of the last crash or probe.
        Instant lastEvidenceAt{};
    };

    /// Counts a crash of an upstream while it executed a request with the suspect. A request that
    /// was sent before the last crash, or whose time of sending is not known, adds no round.
    /// Returns false if this crash was already counted.
    bool recordCrash(uint64_t digest, const std::string &upstream, Instant now,
                     const CrashEvidence &evidence = {});
    /// Records that an upstream has completed a request with the suspect, which refutes the
    /// suspicion: the crashes counted so far are void here and, once merged, in the other
    /// processes. Returns false if it was not suspected.
    bool recordCompletion(uint64_t digest, Instant now);
    /// Records that a request is sent to find out whether the suspicion still holds, which delays
    /// the next such request. Returns false if it is not suspected.
    bool recordProbe(uint64_t digest, Instant now);
    /// Merges a suspect received from a neighbour. Idempotent: returns false if nothing changed.
    bool merge(const proto::Suspect &suspect, Instant now);
    Count count(uint64_t digest, Instant now) const;
    uint32_t crashCount(uint64_t digest, Instant now) const
    {
        return this->count(digest, now).crashes;
    }
    /// Time until the suspect expires; zero if it is not in the table.
    Duration timeLeft(uint64_t digest, Instant now) const;
    /// Other suspects that occurred in each known crash of the suspect and so explain all of them
    /// as well.
    std::vector<uint64_t> findCompanions(uint64_t digest, Instant now) const;
    /// Time from which a request with the suspect may be sent as a probe. A request that separates
    /// the suspect from those that it occurred with may be sent sooner. The suspect must be in the
    /// table.
    Instant probeDueAt(uint64_t digest, bool isSeparating) const;
    /// The suspect with this digest as a message; without crashes if it is not in the table.
    proto::Suspect find(uint64_t digest, Instant now) const;
    /// Suspects that changed within PropagationTime; with all set, every suspect, for a neighbour
    /// that has none yet.
    std::vector<proto::Suspect> recentChanges(Instant now, bool all) const;
    /// Suspects with at least this number of crashes, at most the given number of them, in turn;
    /// each call begins after the last suspect of the call before. Without their upstreams.
    std::vector<proto::Suspect> takeNextConfirmed(uint32_t minCrashes, size_t limit, Instant now);
    /// Suspects with at least this number of crashes.
    std::vector<uint64_t> digestsOf(uint32_t minCrashes, Instant now) const;
    void expire(Instant now);

private:
    struct Row
    {
        uint32_t crashes = 0;
        // Invariant: not more than crashes.
        uint32_t rounds = 0;
        uint32_t probes = 0;
        Instant probedAt{};
        bool isIsolated = false;
        // Crashed upstreams, with the time of the last crash that this process knows of.
        std::map<std::string, Instant> upstreams;
        Instant expiresAt{};
        Instant changedAt{};
        // Time of the completion that voided earlier crashes. Invariant: crashes is 0 if set.
        std::optional<Instant> clearedAt;

        Instant lastCrashAt() const { return this->expiresAt - SuspectLifetime; }
    };

    static proto::Suspect toMessage(uint64_t digest, const Row &row, Instant now);
    static bool mergeCompletion(Row &row, Instant clearedAt, Instant now);
    const Row *findRow(uint64_t digest, Instant now) const;
    /// Evicts rows above MaxSuspects, but not the given one.
    void evictExcess(uint64_t kept);

    std::map<uint64_t, Row> rows;
    // Last suspect that takeNextConfirmed() returned.
    uint64_t lastTaken = 0;
};

} // namespace tray
