// Demand on its way up the relay tree and down to the relays, where planners take it.
#pragma once

#include "control.pb.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tray {

/// Sums up demand by name and region. Demand is a hint: a lost message loses it.
class DemandFlow
{
public:
    using Rows = std::vector<proto::Demand>;

    /// Own demand, or what a child sent up.
    void addUp(const proto::Demand &demand);
    /// Demand for the parent, taken out.
    Rows takeUp();
    /// Shares demand out to the own planner and to the given relays below.
    void shareOut(const proto::Demand &demand, const std::vector<std::string> &relays);
    /// Demand for a relay below, taken out.
    Rows takeFor(const std::string &relay);
    /// Demand for the own planner, taken out.
    Rows takeOwn();
    void forget(const std::string &relay) { this->below.erase(relay); }

private:
    // Names that no planner asks for must not grow without bound.
    static constexpr size_t MaxRows = 10000;
    using Key = std::pair<std::string, std::string>;
    using Table = std::map<Key, proto::Demand>;

    static void add(Table &table, const proto::Demand &demand);
    static Rows take(Table &table);

    Table up;
    Table own;
    std::map<std::string, Table> below;
};

} // namespace tray
