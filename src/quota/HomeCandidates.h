// The gateways among which the homes of quotas are chosen.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace tray {

struct HomeCandidate
{
    std::string name;
    /// The gateway has announced that it is stopping.
    bool isStopping = false;

    bool operator==(const HomeCandidate &) const = default;
};

/// Returns the names of the gateways that may be homes, sorted: those that are not stopping, or all
/// if there is no other. Otherwise each of several gateways that stop together would be its own
/// home, with a rate of its own.
inline std::vector<std::string> selectHomeCandidates(const std::vector<HomeCandidate> &live)
{
    const bool isAnyStaying = std::any_of(
        live.begin(), live.end(), [](const auto &candidate) { return !candidate.isStopping; });
    std::vector<std::string> names;
    for (const auto &candidate : live) {
        if (!candidate.isStopping || !isAnyStaying)
            names.push_back(candidate.name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace tray
