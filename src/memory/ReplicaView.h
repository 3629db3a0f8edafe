// What the other agents' statuses tell about replicas, and the holds by which agents agree on who
// may unload one.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tray {

/// Times of the hold protocol.
struct HoldTimes
{
    /// A published hold binds its agent for this long after it was withdrawn.
    Duration validity = std::chrono::seconds(10);
    /// A status older than this confirms nothing.
    Duration freshness = std::chrono::seconds(5);
    /// Interval at which a holder refreshes its status while another agent asks for it.
    Duration refresh = std::chrono::seconds(1);
};

using StatusList = std::vector<std::shared_ptr<const proto::UpstreamStatus>>;

/// View of one agent on the engines of its pool. Pure state; not safe for concurrent use.
class ReplicaView
{
public:
    ReplicaView(std::string ownUpstream, std::string pool, HoldTimes times = {})
        : own(std::move(ownUpstream)), pool(std::move(pool)), times(times)
    {}

    /// Takes in the statuses of all upstreams that are alive.
    void update(const StatusList &statuses, Instant now);

    /// Other live engines that have the model ready, or loading if that counts too.
    uint32_t replicas(const std::string &model, bool withLoading) const;
    /// Other live engines that have or load one version of the model.
    uint32_t replicasOfVersion(const std::string &model, const std::string &version) const;
    /// Another live engine has the model ready and holds it.
    bool isHeldElsewhere(const std::string &model) const;
    /// Like isHeldElsewhere, by a status that was published after the given time and is fresh.
    bool isHoldConfirmed(const std::string &model, Instant since, Instant now) const;
    /// Another engine that has the model ready comes before this one in the model's rendezvous
    /// order; if withHold, it must also hold the model.
    bool hasEarlierReplica(const std::string &model, bool withHold) const;
    /// Position of this engine in the model's rendezvous order among engines without the model.
    uint32_t loadRank(const std::string &model) const;
    /// Another agent waits for this one to confirm its hold of one of the models.
    bool isAskedFor(const std::set<std::string> &heldModels) const;

    const HoldTimes &holdTimes() const { return this->times; }

private:
    struct Seen
    {
        std::shared_ptr<const proto::UpstreamStatus> status;
        /// Time at which this state arrived here.
        Instant since;
    };

    template <typename Accept>
    uint32_t countOthers(Accept accept) const;

    std::string own;
    std::string pool;
    HoldTimes times;
    // Other engines of the pool, by upstream.
    std::map<std::string, Seen> others;
};

} // namespace tray
