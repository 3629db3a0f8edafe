// Changes between the instance lists that a process has held, so that its peers get deltas: at
// 1,600 processes a whole list is about 200 KB, and several hundred changes a day pass each edge of
// the tree.
#pragma once

#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Bounded history of one process's instance list.
class InstanceHistory
{
public:
    /// Steps that are kept; a peer that is further behind gets the whole list.
    static constexpr size_t MaxSteps = 64;

    /// Notes that a list with a higher revision replaced another.
    void note(const proto::InstanceList &before, const proto::InstanceList &after);
    /// What a peer with the given revision needs to reach the current list: a delta if the steps
    /// from there are kept, otherwise the whole list.
    proto::InstanceList since(uint64_t revision, const proto::InstanceList &current) const;

private:
    struct Step
    {
        uint64_t before = 0;
        // Instances whose entry was added, changed or removed.
        std::vector<std::string> touched;
    };

    // Invariant: each step starts at the revision that the one before it led to.
    std::deque<Step> steps;
};

/// The list that a message leads to: the message itself if it is whole. Nothing if it is a delta
/// from another revision than the list's.
std::optional<proto::InstanceList> applyInstances(const proto::InstanceList &list,
                                                  const proto::InstanceList &message);

} // namespace tray
