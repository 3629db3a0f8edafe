// Relay tree over which the processes synchronise their state: one tree over all data centres and
// regions, with 2 relays for each data centre and a fan-out of 16.
#pragma once

#include "control.pb.h"

#include <string>
#include <vector>

namespace tray {

/// Position of one process in the tree, computed from the instance list. All processes are in one
/// total order: by region, then by data centre, then by instance, each by rendezvous weight. A
/// parent always precedes its children in that order, so there are no cycles even while processes
/// use different fallback parents.
class RelayTree
{
public:
    static constexpr size_t RelaysPerDataCentre = 2;
    static constexpr size_t FanOut = 16;

    RelayTree() = default;
    /// Leaving instances are nobody's parent. A process that is not listed yet, or that is leaving,
    /// has parents but no children.
    RelayTree(const proto::InstanceList &list, const proto::InstanceEntry &self);

    /// Whether the process is a relay, which watches the platform for its data centre.
    bool isRelay() const { return this->index < RelaysPerDataCentre; }
    /// Candidate parents in order of preference; empty for the first process in the total order.
    const std::vector<proto::InstanceEntry> &parents() const { return this->candidates; }
    /// Other relays of this process's region, which can be asked whether they reach the platform.
    const std::vector<proto::InstanceEntry> &regionRelays() const { return this->peers; }

private:
    // Position among the instances of the process's data centre.
    size_t index = 0;
    std::vector<proto::InstanceEntry> candidates;
    std::vector<proto::InstanceEntry> peers;
};

} // namespace tray
