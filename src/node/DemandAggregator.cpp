#include "node/DemandAggregator.h"

namespace tray {

void DemandAggregator::add(Table &table, const proto::Demand &demand)
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

DemandAggregator::Rows DemandAggregator::take(Table &table)
{
    Rows rows;
    rows.reserve(table.size());
    for (auto &[key, demand] : table)
        rows.push_back(std::move(demand));
    table.clear();
    return rows;
}

void DemandAggregator::addFromBelow(const proto::Demand &demand)
{
    add(this->forParent, demand);
}

DemandAggregator::Rows DemandAggregator::takeForParent()
{
    return take(this->forParent);
}

void DemandAggregator::distribute(const proto::Demand &demand,
                                  const std::vector<std::string> &relays)
{
    add(this->local, demand);
    for (const auto &relay : relays)
        add(this->forRelays[relay], demand);
}

DemandAggregator::Rows DemandAggregator::takeForRelay(const std::string &relay)
{
    const auto found = this->forRelays.find(relay);
    return found == this->forRelays.end() ? Rows{} : take(found->second);
}

DemandAggregator::Rows DemandAggregator::takeLocal()
{
    return take(this->local);
}

} // namespace tray
