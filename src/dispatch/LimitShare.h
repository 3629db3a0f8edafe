// Divides an upstream's request limit among the instances that send to it.
#pragma once

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

/// Returns the part of the limit that an instance may use, in requests per second.
///
/// Each instance that has a share may save up one request, and all of them may spend it at the
/// same time. So only as many instances have a share as the limit bears, the nearest ones first,
/// and the others send nothing. All instances come to the same division if they know the same
/// instances; the own instance is one of the sharers.
double computeLimitShare(const std::string &ownInstance, const std::string &upstream,
                         const std::vector<LimitSharer> &sharers, double limitPerSecond);

} // namespace tray
