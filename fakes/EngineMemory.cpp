// Applies orders to the table of items and counts transitions into overcommitment.
#include "EngineMemory.h"

#include <algorithm>

namespace tray::fakes {

FakeOrderResult EngineMemory::apply(const FakeOrder &order)
{
    if (this->enforceFencing && order.fencingToken < this->highestFencingToken)
        return FakeOrderResult::Refused;
    this->highestFencingToken = std::max(this->highestFencingToken, order.fencingToken);
    if (!this->seenOrderIds.insert(order.id).second)
        return FakeOrderResult::Duplicate;
    const auto found = this->itemTable.find(order.key);
    if (order.action == "load") {
        if (found != this->itemTable.end() && found->second.state != FakeItemState::Unloading)
            return FakeOrderResult::NoEffect;
        this->itemTable[order.key] = {order.bytes, FakeItemState::Loading, ++this->lastGeneration};
        this->updateUsage();
        return FakeOrderResult::LoadStarted;
    }
    if (order.action == "unload" && found != this->itemTable.end()) {
        found->second.state = FakeItemState::Unloading;
        found->second.generation = ++this->lastGeneration;
        return FakeOrderResult::UnloadStarted;
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
    this->updateUsage();
}

void EngineMemory::setKvBytes(uint64_t bytes)
{
    this->kvInUse = bytes;
    this->updateUsage();
}

void EngineMemory::restart()
{
    this->itemTable.clear();
    this->seenOrderIds.clear();
    this->highestFencingToken = 0;
    this->kvInUse = 0;
    this->updateUsage();
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

void EngineMemory::updateUsage()
{
    const uint64_t used = this->itemBytes() + this->kvInUse;
    this->peak = std::max(this->peak, used);
    const bool nowOvercommitted = used > this->capacity;
    if (nowOvercommitted && !this->isOvercommitted)
        ++this->overcommits;
    this->isOvercommitted = nowOvercommitted;
}

} // namespace tray::fakes
