// Memory of the engine stand-in.
#include "EngineMemory.h"

#include <algorithm>

namespace tray::fakes {

FakeOrderResult EngineMemory::apply(const FakeOrder &order)
{
    if (this->fencingObeyed && order.fencing < this->highestFencing)
        return FakeOrderResult::Refused;
    this->highestFencing = std::max(this->highestFencing, order.fencing);
    if (!this->knownOrders.insert(order.id).second)
        return FakeOrderResult::Repeated;
    const auto found = this->itemTable.find(order.key);
    if (order.action == "load") {
        if (found != this->itemTable.end() && found->second.state != FakeItemState::Unloading)
            return FakeOrderResult::NoEffect;
        this->itemTable[order.key] = {order.bytes, FakeItemState::Loading, ++this->generations};
        this->check();
        return FakeOrderResult::LoadBegun;
    }
    if (order.action == "unload" && found != this->itemTable.end()) {
        found->second.state = FakeItemState::Unloading;
        found->second.generation = ++this->generations;
        return FakeOrderResult::UnloadBegun;
    }
    return FakeOrderResult::NoEffect;
}

void EngineMemory::finishLoad(const FakeItemKey &key, uint64_t generation)
{
    const auto found = this->itemTable.find(key);
    if (found != this->itemTable.end() && found->second.generation == generation &&
        found->second.state == FakeItemState::Loading)
        found->second.state = FakeItemState::Ready;
}

void EngineMemory::finishUnload(const FakeItemKey &key, uint64_t generation)
{
    const auto found = this->itemTable.find(key);
    if (found != this->itemTable.end() && found->second.generation == generation &&
        found->second.state == FakeItemState::Unloading)
        this->itemTable.erase(found);
    this->check();
}

void EngineMemory::setKv(uint64_t bytes)
{
    this->kv = bytes;
    this->check();
}

void EngineMemory::restart()
{
    this->itemTable.clear();
    this->knownOrders.clear();
    this->highestFencing = 0;
    this->kv = 0;
    this->check();
}

bool EngineMemory::isReady(const std::string &kind, const std::string &name,
                           std::string_view version) const
{
    return std::any_of(this->itemTable.begin(), this->itemTable.end(), [&](const auto &entry) {
        const auto &[itemKind, itemName, itemVersion] = entry.first;
        return itemKind == kind && itemName == name &&
               (version.empty() || itemVersion == version) &&
               entry.second.state == FakeItemState::Ready;
    });
}

uint64_t EngineMemory::itemBytes() const
{
    uint64_t sum = 0;
    for (const auto &[key, item] : this->itemTable)
        sum += item.bytes;
    return sum;
}

void EngineMemory::check()
{
    const uint64_t used = this->itemBytes() + this->kv;
    this->peak = std::max(this->peak, used);
    const bool nowOver = used > this->memoryBytes;
    if (nowOver && !this->over)
        ++this->overcommitCount;
    this->over = nowOver;
}

} // namespace tray::fakes
