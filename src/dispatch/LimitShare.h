// Divides an upstream's request limit among the instances that send to it.
#pragma once

#include "base/Time.h"

#include <string>
#include <vector>

namespace tray {

/// An instance that may send requests to an upstream.
struct LimitSharer
{
    std::string instance;
    /// Rank of the distance to the upstream; 0 is the nearest.
    int distance = 0;
};

/// Part of a limit that an instance may use.
struct LimitShare
{
    double perSecond = 0;
    /// Time after the last answer that named the limit until an instance without a share may find
    /// out whether it still holds. The instances do so one after the other.
    Duration recheckAfter{};
};

/// Returns the part of the limit that an instance may use.
///
/// Each instance that has a share may save up one request, and all of them may spend it at the
/// same time. So only as many instances have a share as the limit bears, the nearest ones first,
/// and the others send nothing. All instances come to the same division if they know the same
/// instances; the own instance is one of the sharers.
LimitShare computeLimitShare(const std::string &ownInstance, const std::string &upstream,
                             const std::vector<LimitSharer> &sharers, double limitPerSecond);

} // namespace tray
