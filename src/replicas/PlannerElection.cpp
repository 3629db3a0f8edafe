// Taking, keeping and giving up the planner's role.
#include "replicas/PlannerElection.h"

#include "fleet/InstanceStrength.h"

#include <algorithm>

namespace tray {

PlannerElection::PlannerElection(uint64_t candidateHash, double processorShare, Instant now)
    : patience(Silence + milliseconds(candidateHash % static_cast<uint64_t>(toMs(Spread))) +
               (isWeak(processorShare) ? WeakDelay : Duration::zero())),
      heardAt(now - (Silence - FirstSilence))
{}

void PlannerElection::heard(uint64_t term, Instant now)
{
    if (term == 0 || term < this->heardTerm)
        return;
    this->heardTerm = term;
    this->heardAt = now;
    if (term > this->term)
        this->term = 0;
}

bool PlannerElection::wantsRole(Instant now) const
{
    return !this->isPlanner() && now >= this->heardAt + this->patience &&
           now >= this->triedAt + RetryPause;
}

void PlannerElection::tryBegan(Instant now)
{
    this->triedAt = now;
}

void PlannerElection::won(uint64_t term, Instant calledAt, Instant now)
{
    // A higher term may have been heard while the write was on its way, or wait to be heard after a
    // pause.
    if (term <= this->heardTerm || now >= calledAt + Silence)
        return this->lost(now);
    this->term = term;
    this->heardAt = now;
    this->spokeAt = now;
}

bool PlannerElection::lapse(Instant now)
{
    if (!this->isPlanner() || now < this->spokeAt + Silence)
        return false;
    this->term = 0;
    this->heardAt = now;
    return true;
}

void PlannerElection::lost(Instant now)
{
    this->heardAt = now;
}

bool PlannerElection::knowsPlanner(Instant now) const
{
    return !this->isPlanner() && this->heardTerm != 0 && now < this->heardAt + Silence;
}

} // namespace tray
