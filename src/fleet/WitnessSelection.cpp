// Implements the rendezvous hashing of streams to witnesses.
#include "fleet/WitnessSelection.h"

#include "base/Hash.h"

#include <algorithm>

namespace tray {

namespace {

/// Keeps the candidates with the highest weights for a stream, the highest first.
template <typename T, typename NameOf>
void keepHighest(std::vector<T> &candidates, uint64_t stream, size_t count, NameOf nameOf)
{
    const std::string key = toHex(stream);
    std::vector<std::pair<uint64_t, T>> weighted;
    weighted.reserve(candidates.size());
    for (auto &candidate : candidates)
        weighted.emplace_back(rendezvousWeight(key, nameOf(candidate)), std::move(candidate));
    const size_t kept = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept),
                      weighted.end(),
                      [](const auto &one, const auto &other) { return one.first > other.first; });
    candidates.clear();
    for (size_t i = 0; i < kept; ++i)
        candidates.push_back(std::move(weighted[i].second));
}

} // namespace

std::vector<const UpstreamEntry *>
selectWitnessEngines(uint64_t stream, const std::string &service,
                     const std::map<std::string, UpstreamEntry> &entries, size_t perVersion)
{
    using Engines = std::vector<const UpstreamEntry *>;
    std::map<std::string, Engines> byVersion;
    for (const auto &[id, entry] : entries) {
        if (entry.service == service && entry.phase == UpstreamPhase::Ready)
            byVersion[entry.softwareVersion].push_back(&entry);
    }
    size_t total = 0;
    for (const auto &[version, engines] : byVersion)
        total += engines.size();
    std::vector<Engines> groups;
    for (auto &[version, engines] : byVersion) {
        if (engines.size() * MinWitnessShare >= total)
            groups.push_back(std::move(engines));
    }
    std::stable_sort(groups.begin(), groups.end(), [](const Engines &one, const Engines &other) {
        return one.size() > other.size();
    });
    groups.resize(std::min(groups.size(), MaxWitnessVersions));
    Engines selected;
    for (auto &engines : groups) {
        keepHighest(engines, stream, perVersion,
                    [](const UpstreamEntry *entry) -> const std::string & { return entry->id; });
        selected.insert(selected.end(), engines.begin(), engines.end());
    }
    return selected;
}

std::vector<std::string> selectWitnessPeers(uint64_t stream, std::vector<std::string> candidates,
                                            size_t count)
{
    keepHighest(candidates, stream, count,
                [](const std::string &name) -> const std::string & { return name; });
    return candidates;
}

} // namespace tray
