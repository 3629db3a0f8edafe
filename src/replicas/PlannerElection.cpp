// Acquires, keeps and resigns the planner's role.
#include "replicas/PlannerElection.h"

#include "fleet/InstanceCapacity.h"

#include <algorithm>

namespace tray {

PlannerElection::PlannerElection(uint64_t candidateHash, double cpuCores, Instant now)
    : electionTimeout(ElectionTimeout +
                      milliseconds(candidateHash % static_cast<uint64_t>(toMs(MaxElectionJitter))) +
                      (hasLowCpuShare(cpuCores) ? LowCpuShareDelay : Duration::zero())),
      heartbeatAt(now - (ElectionTimeout - InitialElectionTimeout))
{}

void PlannerElection::noteHeartbeat(uint64_t term, Instant now)
{
    if (term == 0 || term < this->highestPeerTerm)
        return;
    this->highestPeerTerm = term;
    this->heartbeatAt = now;
    if (term > this->term)
        this->term = 0;
}

bool PlannerElection::shouldCampaign(Instant now) const
{
    return !this->isPlanner() && now >= this->heartbeatAt + this->electionTimeout &&
           now >= this->campaignBeganAt + CampaignRetryDelay;
}

void PlannerElection::noteCampaignBegan(Instant now)
{
    this->campaignBeganAt = now;
}

void PlannerElection::noteWon(uint64_t term, Instant calledAt, Instant now)
{
    // A higher term may have arrived while the write was in flight, or may still be unread after a
    // pause of the process.
    if (term <= this->highestPeerTerm || now >= calledAt + ElectionTimeout)
        return this->noteLost(now);
    this->term = term;
    this->heartbeatAt = now;
    this->heartbeatSentAt = now;
}

bool PlannerElection::resignIfExpired(Instant now)
{
    if (!this->isPlanner() || now < this->heartbeatSentAt + ElectionTimeout)
        return false;
    this->term = 0;
    this->heartbeatAt = now;
    return true;
}

void PlannerElection::noteLost(Instant now)
{
    this->heartbeatAt = now;
}

bool PlannerElection::knowsPlanner(Instant now) const
{
    return !this->isPlanner() && this->highestPeerTerm != 0 &&
           now < this->heartbeatAt + ElectionTimeout;
}

} // namespace tray
