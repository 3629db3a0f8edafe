// Counts the replicas of models from the statuses of other agents, and evaluates the holds by which
// agents agree on who may unload a replica.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tray {

/// Times of the hold protocol. A hold is an agent's published commitment to keep its ready replica
/// of a model. An agent unloads a replica only after it has withdrawn its own hold and another
/// agent has confirmed its hold.
struct HoldTimes
{
    /// Time for which a published hold still binds its agent after it was withdrawn.
    Duration withdrawalDelay = std::chrono::seconds(10);
    /// A status older than this does not confirm a hold.
    Duration maxStatusAge = std::chrono::seconds(5);
    /// Interval at which a holder republishes its status while another agent requests a
    /// confirmation.
    Duration refreshInterval = std::chrono::seconds(1);
};

using StatusList = std::vector<std::shared_ptr<const proto::UpstreamStatus>>;

/// One agent's view of the other engines in its pool. Does no I/O; not thread-safe.
class ReplicaView
{
public:
    ReplicaView(std::string ownUpstream, std::string pool, HoldTimes times = {})
        : ownUpstream(std::move(ownUpstream)), pool(std::move(pool)), times(times)
    {}

    /// Replaces the view by the statuses of all upstreams that are alive.
    void update(const StatusList &statuses, Instant now);

    /// Number of other live engines on which the model is ready or, with includeLoading, in any
    /// state.
    uint32_t countReplicas(const std::string &model, bool includeLoading) const;
    /// Number of other live engines that have or load the given version of the model.
    uint32_t countReplicasOfVersion(const std::string &model, const std::string &version) const;
    /// Returns whether the model is ready on another live engine whose agent holds it.
    bool isHeldElsewhere(const std::string &model) const;
    /// Like isHeldElsewhere, but the status must have arrived after the given time and be fresh.
    bool isHoldConfirmed(const std::string &model, Instant after, Instant now) const;
    /// Returns whether the model is ready on another engine that ranks before this one in the
    /// model's rendezvous order. With requireHold, that engine's agent must also hold the model.
    bool hasHigherRankedReplica(const std::string &model, bool requireHold) const;
    /// Position of this engine in the model's rendezvous order among the engines without the model.
    uint32_t loadRank(const std::string &model) const;
    /// Returns whether another agent waits for this one to confirm its hold on one of the models.
    bool isConfirmationRequested(const std::set<std::string> &heldModels) const;

    const HoldTimes &holdTimes() const { return this->times; }

private:
    struct StatusEntry
    {
        std::shared_ptr<const proto::UpstreamStatus> status;
        /// Time at which this version of the status arrived here.
        Instant receivedAt;
    };

    template <typename Accept>
    uint32_t countServing(Accept accept) const;

    std::string ownUpstream;
    std::string pool;
    HoldTimes times;
    // Statuses of the other engines in the pool, by upstream.
    std::map<std::string, StatusEntry> others;
};

} // namespace tray
