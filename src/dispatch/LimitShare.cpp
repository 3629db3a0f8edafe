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
constexpr double SharersPerRequestRate = 1.5;
// Part of the limit that the requests of all instances without a share may take together.
constexpr double RecheckPart = 0.1;
constexpr Duration MaxRecheckTime = std::chrono::minutes(10);

} // namespace

LimitShare computeLimitShare(const std::string &ownInstance, const std::string &upstream,
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
        return {0, MaxRecheckTime};
    const Rank ownRank = rankOf(*own);
    const auto ahead =
        static_cast<size_t>(std::count_if(sharers.begin(), sharers.end(), [&](const auto &sharer) {
            return rankOf(sharer) < ownRank;
        }));
    if (ahead < count)
        return {limitPerSecond / static_cast<double>(count), MaxRecheckTime};
    const double maxSeconds = std::chrono::duration<double>(MaxRecheckTime).count();
    const auto others = static_cast<double>(sharers.size() - count);
    const double roundSeconds = others / (RecheckPart * limitPerSecond);
    // Each instance has its own place within the round, by its rank.
    const double place = static_cast<double>(ahead - count) / others;
    const double seconds = std::min(maxSeconds, roundSeconds) * (1 + place);
    return {0, milliseconds(static_cast<int64_t>(seconds * 1000))};
}

} // namespace tray
