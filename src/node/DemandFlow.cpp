// Sums of demand.
#include "node/DemandFlow.h"

namespace tray {

void DemandFlow::add(Table &table, const proto::Demand &demand)
{
    const Key key{demand.name(), demand.region()};
    if (table.size() >= MaxRows && !table.contains(key))
        return;
    auto &sum = table[key];
    sum.set_name(demand.name());
    sum.set_region(demand.region());
    sum.set_requests(sum.requests() + demand.requests());
    sum.set_tokens(sum.tokens() + demand.tokens());
    sum.set_refused(sum.refused() + demand.refused());
    sum.set_missed(sum.missed() + demand.missed());
}

DemandFlow::Rows DemandFlow::take(Table &table)
{
    Rows rows;
    rows.reserve(table.size());
    for (auto &[key, demand] : table)
        rows.push_back(std::move(demand));
    table.clear();
    return rows;
}

void DemandFlow::addUp(const proto::Demand &demand)
{
    add(this->up, demand);
}

DemandFlow::Rows DemandFlow::takeUp()
{
    return take(this->up);
}

void DemandFlow::shareOut(const proto::Demand &demand, const std::vector<std::string> &relays)
{
    add(this->own, demand);
    for (const auto &relay : relays)
        add(this->below[relay], demand);
}

DemandFlow::Rows DemandFlow::takeFor(const std::string &relay)
{
    const auto found = this->below.find(relay);
    return found == this->below.end() ? Rows{} : take(found->second);
}

DemandFlow::Rows DemandFlow::takeOwn()
{
    return take(this->own);
}

} // namespace tray
