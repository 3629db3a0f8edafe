// Aggregates demand on its way up the relay tree, and from the root down to the relays, whose
// planners consume it.
#pragma once

#include "control.pb.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tray {

/// Sums demand by name and region. Demand is a hint: demand in a lost message is not recovered.
class DemandAggregator
{
public:
    using Rows = std::vector<proto::Demand>;

    /// Adds this process's demand, or demand received from a child.
    void addFromBelow(const proto::Demand &demand);
    /// Returns and removes the demand for the parent.
    Rows takeForParent();
    /// Adds system-wide demand for the local planner and for the given relays below this process.
    void distribute(const proto::Demand &demand, const std::vector<std::string> &relays);
    /// Returns and removes the demand for a relay below this process.
    Rows takeForRelay(const std::string &relay);
    /// Returns and removes the demand for the local planner.
    Rows takeLocal();
    void forget(const std::string &relay) { this->forRelays.erase(relay); }

private:
    // Bounds the memory of demand that no planner takes.
    static constexpr size_t MaxRows = 10000;
    using Key = std::pair<std::string, std::string>;
    using Table = std::map<Key, proto::Demand>;

    static void add(Table &table, const proto::Demand &demand);
    static Rows take(Table &table);

    Table forParent;
    Table local;
    std::map<std::string, Table> forRelays;
};

} // namespace tray
