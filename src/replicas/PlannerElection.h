// Which gateway plans the placement of models.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace tray {

/// One gateway's view of the planner's role. The role is taken by a conditional write of one
/// record; its revision is the planner's term. Nothing is renewed in the store: the planner tells
/// its peers that it lives, and a candidate writes only after it has heard no planner for a while.
/// A planner that has been silent for as long, since its process was paused, gives the role up.
/// Stewards obey the highest term that they have seen, so two planners at once cost moves, never
/// safety. All times are of the clock that counts suspensions.
class PlannerElection
{
public:
    /// Silence after which the role is taken over; several times the period of the planner's word.
    static constexpr Duration Silence = milliseconds(2000);
    /// Candidates differ by up to this in their patience, so that few of them write at once.
    static constexpr Duration Spread = milliseconds(500);
    /// The same after a start, when no planner may be left: longer than the planner's period.
    static constexpr Duration FirstSilence = milliseconds(700);
    /// Time between two tries while the store does not answer.
    static constexpr Duration RetryPause = milliseconds(1000);

    /// Weak candidates wait this much longer, so that a strong one plans if any lives.
    static constexpr Duration WeakDelay = milliseconds(600);

    /// The candidate's patience is drawn from its name's hash; it has this part of a core.
    PlannerElection(uint64_t candidateHash, double processorShare, Instant now);

    /// A peer told that it holds the role.
    void heard(uint64_t term, Instant now);
    /// The role's record is to be written now.
    bool wantsRole(Instant now) const;
    /// A try began; none other begins until it ends or the pause is over.
    void tryBegan(Instant now);
    /// The record was written with this revision, by a call that began then.
    void won(uint64_t term, Instant calledAt, Instant now);
    /// Somebody else wrote it; his word is awaited.
    void lost(Instant now);
    /// The planner's word went out to its peers.
    void spoke(Instant now) { this->spokeAt = now; }
    /// Gives the role up if the peers have heard nothing for so long that one of them may have
    /// taken it. True if it was given up.
    bool lapse(Instant now);

    bool isPlanner() const { return this->term != 0; }
    uint64_t ownTerm() const { return this->term; }
    /// A planner that is not this gateway was heard lately.
    bool knowsPlanner(Instant now) const;

private:
    const Duration patience;
    // Term that this gateway holds; 0 if it does not plan.
    uint64_t term = 0;
    // Highest term that was heard from a peer, and when any planner was heard last.
    uint64_t heardTerm = 0;
    Instant heardAt;
    Instant triedAt{};
    // Last word of this gateway as the planner.
    Instant spokeAt{};
};

} // namespace tray
