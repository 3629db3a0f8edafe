#include "membership/RelayTree.h"

#include "base/Hash.h"

#include <algorithm>
#include <map>

namespace tray {

namespace {

using Entries = std::vector<const proto::InstanceEntry *>;

// Number of instances after the relays that are tried as parents when the parent and the relays do
// not answer. The first of these instances has no parent that answers and does the relays' work.
constexpr size_t MaxFallbackInstances = 4;

/// Instances of each data centre of one region, in order of their weight.
using RegionMap = std::map<std::string, Entries>;

void sortByWeight(const std::string &dataCentre, Entries &entries)
{
    std::vector<std::pair<uint64_t, const proto::InstanceEntry *>> weighted;
    weighted.reserve(entries.size());
    for (const auto *entry : entries)
        weighted.emplace_back(rendezvousWeight(dataCentre, entry->id()), entry);
    std::sort(weighted.begin(), weighted.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second->id() < right.second->id();
    });
    for (size_t i = 0; i < entries.size(); ++i)
        entries[i] = weighted[i].second;
}

/// Keys of the map in order of their rendezvous weight for the given key.
template <typename Map>
std::vector<std::string> sortedByWeight(const std::string &key, const Map &map)
{
    std::vector<std::string> names;
    for (const auto &[name, ignored] : map)
        names.push_back(name);
    std::sort(names.begin(), names.end(), [&](const auto &left, const auto &right) {
        const auto a = rendezvousWeight(key, left);
        const auto b = rendezvousWeight(key, right);
        return a != b ? a > b : left < right;
    });
    return names;
}

/// Relays of a data centre: the first of its instances.
Entries relaysOf(const Entries &entries)
{
    const auto count = std::min(entries.size(), RelayTree::RelaysPerDataCentre);
    return {entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count)};
}

void append(Entries &to, const Entries &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

/// Relays of the data centres and regions that precede the process's data centre.
Entries precedingRelays(const std::map<std::string, RegionMap> &regions,
                        const proto::InstanceEntry &self)
{
    Entries found;
    if (const auto own = regions.find(self.region()); own != regions.end()) {
        for (const auto &name : sortedByWeight(self.region(), own->second)) {
            if (name == self.data_centre())
                break;
            append(found, relaysOf(own->second.at(name)));
        }
    }
    for (const auto &region : sortedByWeight("regions", regions)) {
        if (region == self.region())
            break;
        for (const auto &name : sortedByWeight(region, regions.at(region)))
            append(found, relaysOf(regions.at(region).at(name)));
    }
    return found;
}

/// Parents within a data centre for the position in its order.
Entries localParents(const Entries &order, size_t index)
{
    Entries found;
    const auto relays = RelayTree::RelaysPerDataCentre;
    if (index >= relays)
        found.push_back(order[(index - relays) / RelayTree::FanOut]);
    const size_t last = std::min({index, order.size(), relays + MaxFallbackInstances});
    found.insert(found.end(), order.begin(), order.begin() + static_cast<std::ptrdiff_t>(last));
    return found;
}

} // namespace

RelayTree::RelayTree(const proto::InstanceList &list, const proto::InstanceEntry &self)
{
    std::map<std::string, RegionMap> regions;
    bool listed = false;
    for (const auto &entry : list.instances()) {
        if (entry.leaving())
            continue;
        listed = listed || entry.id() == self.id();
        regions[entry.region()][entry.data_centre()].push_back(&entry);
    }
    for (auto &[region, dataCentres] : regions) {
        for (auto &[name, entries] : dataCentres)
            sortByWeight(name, entries);
    }
    const Entries order = regions[self.region()][self.data_centre()];
    this->index = order.size();
    for (size_t i = 0; listed && i < order.size(); ++i) {
        if (order[i]->id() == self.id())
            this->index = i;
    }
    Entries found = localParents(order, this->index);
    append(found, precedingRelays(regions, self));
    Entries unique;
    for (const auto *entry : found) {
        if (std::find(unique.begin(), unique.end(), entry) == unique.end()) {
            unique.push_back(entry);
            this->candidates.push_back(*entry);
        }
    }
    for (const auto &[name, entries] : regions[self.region()]) {
        for (const auto *entry : relaysOf(entries)) {
            if (entry->id() != self.id())
                this->peers.push_back(*entry);
        }
    }
}

} // namespace tray
