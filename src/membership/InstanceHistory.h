// Records the changes of a process's instance list, so that peers are sent deltas: at 1,600
// processes a complete list is about 200 KB, and several hundred changes a day pass each edge of
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
    /// Number of changes that are kept; a peer that is further behind gets the complete list.
    static constexpr size_t MaxSteps = 64;

    /// Records that a list was replaced by one with a higher revision.
    void recordChange(const proto::InstanceList &before, const proto::InstanceList &after);
    /// Update that takes a peer from the given revision to the current list: a delta if all changes
    /// since then are kept and few instances changed, otherwise the complete list.
    proto::InstanceList updateSince(uint64_t revision, const proto::InstanceList &current) const;

private:
    struct Step
    {
        // Revision of the list that was replaced.
        uint64_t before = 0;
        // Instances whose entry was added, changed or removed.
        std::vector<std::string> changedIds;
    };

    // Invariant: each step starts at the revision that the previous step led to.
    std::deque<Step> steps;
};

/// Applies an update to a list. Returns the update itself if it is a complete list, and nothing if
/// it is a delta from another revision than the list's.
std::optional<proto::InstanceList> applyInstanceUpdate(const proto::InstanceList &list,
                                                       const proto::InstanceList &update);

} // namespace tray
