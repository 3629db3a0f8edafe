// Elects the gateway that plans the placement of models.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace tray {

/// One gateway's view of the planner's election. A candidate takes the role by a conditional write
/// of one record, whose revision is the planner's term. Nothing is renewed in the store: the
/// planner sends heartbeats to its peers, and a candidate writes only after it has received none
/// for a while. A planner that has sent no heartbeat for as long, since its process was paused,
/// resigns. Stewards obey the highest term that they have seen, so two concurrent planners cost
/// moves, never safety. All times are of the clock that counts suspensions.
class PlannerElection
{
public:
    /// Time without a heartbeat after which a candidate takes the role; several times the planner's
    /// heartbeat period.
    static constexpr Duration ElectionTimeout = milliseconds(2000);
    /// The election timeouts of candidates differ by up to this time, so that few of them write
    /// concurrently.
    static constexpr Duration MaxElectionJitter = milliseconds(500);
    /// Election timeout after a start, when there may be no planner; longer than the planner's
    /// heartbeat period.
    static constexpr Duration InitialElectionTimeout = milliseconds(700);
    /// Time between two attempts to take the role while the store does not answer.
    static constexpr Duration CampaignRetryDelay = milliseconds(1000);

    /// Additional election timeout of weak candidates, so that a strong one becomes planner if any
    /// is running.
    static constexpr Duration LowCpuShareDelay = milliseconds(600);

    /// The candidate's election timeout depends on the hash of its name and on the part of a core
    /// that it has.
    PlannerElection(uint64_t candidateHash, double cpuCores, Instant now);

    /// Records a peer's heartbeat as planner of this term.
    void noteHeartbeat(uint64_t term, Instant now);
    /// Whether the role's record is to be written now.
    bool shouldCampaign(Instant now) const;
    /// Records that an attempt to take the role began; no other one begins until it ends or the
    /// pause is over.
    void noteCampaignBegan(Instant now);
    /// Records that the role's record was written with this revision, by a call that began at that
    /// time. The role is not taken if a peer has a higher term or the call took too long.
    void noteWon(uint64_t term, Instant calledAt, Instant now);
    /// Records that another candidate wrote the record; its heartbeat is awaited.
    void noteLost(Instant now);
    /// Records that a heartbeat of this planner was sent to its peers.
    void noteHeartbeatSent(Instant now) { this->heartbeatSentAt = now; }
    /// Resigns if the peers have received no heartbeat for so long that one of them may have taken
    /// the role. Returns true if this gateway resigned.
    bool resignIfExpired(Instant now);

    bool isPlanner() const { return this->term != 0; }
    uint64_t ownTerm() const { return this->term; }
    /// Whether another gateway's heartbeat as planner was received lately.
    bool knowsPlanner(Instant now) const;

private:
    const Duration electionTimeout;
    // Term in which this gateway is the planner; 0 if it is not.
    uint64_t term = 0;
    // Highest term received from a peer, and the time from which the election timeout runs.
    uint64_t highestPeerTerm = 0;
    Instant heartbeatAt;
    Instant campaignBeganAt{};
    // Last heartbeat that this gateway sent as planner.
    Instant heartbeatSentAt{};
};

} // namespace tray
