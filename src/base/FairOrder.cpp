// Start tags and the virtual time.
#include "base/FairOrder.h"

#include <algorithm>

namespace tray {

double FairOrder::enqueue(uint64_t flow, double cost)
{
    auto found = this->finishTags.find(flow);
    if (found == this->finishTags.end()) {
        if (this->finishTags.size() >= MaxFlows)
            this->makeRoom();
        found = this->finishTags.emplace(flow, this->virtualTime).first;
    }
    const double tag = std::max(this->virtualTime, found->second);
    found->second = tag + cost;
    return tag;
}

void FairOrder::noteServed(double tag)
{
    this->virtualTime = std::max(this->virtualTime, tag);
}

void FairOrder::noteWithdrawn(uint64_t flow, double cost)
{
    if (const auto found = this->finishTags.find(flow); found != this->finishTags.end())
        found->second = std::max(this->virtualTime, found->second - cost);
}

void FairOrder::makeRoom()
{
    std::erase_if(this->finishTags,
                  [&](const auto &item) { return item.second <= this->virtualTime; });
    if (this->finishTags.size() < MaxFlows)
        return;
    // The flow with the lowest tag gains least from being forgotten.
    this->finishTags.erase(
        std::min_element(this->finishTags.begin(), this->finishTags.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; }));
}

} // namespace tray
