// Selects the instances that have a share by distance and by rendezvous hashing.
#include "dispatch/LimitShare.h"

#include "base/Hash.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace tray {

namespace {

// Instances that may have a share of any limit, and further ones for each request per second: the
// saved requests of these stay within the excess that upstreams with a limit tolerate.
constexpr size_t MinSharers = 3;
constexpr double SharersPerRequestRate = 2;

} // namespace

double computeLimitShare(const std::string &ownInstance, const std::string &upstream,
                         const std::vector<LimitSharer> &sharers, double limitPerSecond)
{
    const double bearable =
        static_cast<double>(MinSharers) + SharersPerRequestRate * limitPerSecond;
    const size_t count = bearable < static_cast<double>(sharers.size())
                             ? static_cast<size_t>(bearable)
                             : sharers.size();
    using Rank = std::tuple<int, uint64_t, std::string>;
    const auto rankOf = [&](const LimitSharer &sharer) {
        return Rank{sharer.distance, ~rendezvousWeight(upstream, sharer.instance), sharer.instance};
    };
    const auto own = std::find_if(sharers.begin(), sharers.end(), [&](const auto &sharer) {
        return sharer.instance == ownInstance;
    });
    if (own == sharers.end() || count == 0)
        return 0;
    const Rank ownRank = rankOf(*own);
    const auto ahead =
        static_cast<size_t>(std::count_if(sharers.begin(), sharers.end(), [&](const auto &sharer) {
            return rankOf(sharer) < ownRank;
        }));
    return ahead < count ? limitPerSecond / static_cast<double>(count) : 0;
}

} // namespace tray
