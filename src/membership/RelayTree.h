// Tree over which state spreads: 2 relays for each data centre, fan-out 16, and one tree over all
// data centres and regions.
#pragma once

#include "control.pb.h"

#include <string>
#include <vector>

namespace tray {

/// Place of one process in the tree, from the instance list. All processes are in one order: first
/// by region, then by data centre, then by instance, each by rendezvous weight. A parent always
/// stands earlier in that order, so there are no cycles even while processes hold different
/// fallbacks.
class RelayTree
{
public:
    static constexpr size_t RelaysPerDataCentre = 2;
    static constexpr size_t FanOut = 16;

    RelayTree() = default;
    /// Leaving instances are nobody's parent. A process that the list does not hold yet, or that
    /// leaves, has parents but no children.
    RelayTree(const proto::InstanceList &list, const proto::InstanceEntry &self);

    /// The process watches the platform for its data centre.
    bool isRelay() const { return this->index < RelaysPerDataCentre; }
    /// Parents in order of preference; empty for the first process of all.
    const std::vector<proto::InstanceEntry> &parents() const { return this->candidates; }
    /// Other relays of the own region, which tell whether they reach the platform.
    const std::vector<proto::InstanceEntry> &regionRelays() const { return this->peers; }

private:
    // Position among the instances of the own data centre.
    size_t index = 0;
    std::vector<proto::InstanceEntry> candidates;
    std::vector<proto::InstanceEntry> peers;
};

} // namespace tray
