// An engine with its own exact memory ledger, and a network that loses, delays and repeats orders.
#pragma once

#include "memory/EngineState.h"

#include <deque>
#include <map>
#include <set>

namespace tray::test {

/// The oracle of ledger tests: counts every state in which more is held than there is.
class SimulatedEngine
{
public:
    SimulatedEngine(uint64_t memoryBytes, bool obeysFencing)
        : memoryBytes(memoryBytes), obeysFencing(obeysFencing)
    {}

    enum class Answer { Accepted, Refused };

    Answer apply(const EngineOrder &order)
    {
        if (this->obeysFencing && order.fencing < this->fencing)
            return Answer::Refused;
        this->fencing = std::max(this->fencing, order.fencing);
        if (this->known.insert(order.id).second) {
            const auto found = this->items.find(order.key);
            if (order.action == OrderAction::Load && found == this->items.end())
                this->items[order.key] = {order.key, order.bytes, ItemState::Loading};
            if (order.action == OrderAction::Unload && found != this->items.end())
                found->second.state = ItemState::Unloading;
        }
        this->check();
        return Answer::Accepted;
    }

    /// Ends loads and unloads that are under way; each draws whether it ends now.
    template <typename Draw>
    void progress(Draw &&endsNow)
    {
        for (auto it = this->items.begin(); it != this->items.end();) {
            auto &item = it->second;
            if (item.state == ItemState::Ready || !endsNow()) {
                ++it;
            } else if (item.state == ItemState::Loading) {
                item.state = ItemState::Ready;
                ++it;
            } else {
                it = this->items.erase(it);
            }
        }
        ++this->sequence;
        this->check();
    }

    void restart()
    {
        this->items.clear();
        this->known.clear();
        this->fencing = 0;
        this->kv = 0;
        this->sequence = 1;
    }

    EngineReport report() const
    {
        EngineReport report;
        report.sequence = this->sequence;
        report.fencing = this->fencing;
        report.memoryBytes = this->memoryBytes;
        report.kvBytesUsed = this->kv;
        for (const auto &[key, item] : this->items)
            report.items.push_back(item);
        return report;
    }

    uint64_t used() const
    {
        uint64_t sum = this->kv;
        for (const auto &[key, item] : this->items)
            sum += item.bytes;
        return sum;
    }

    bool isReady(const ItemKey &key) const
    {
        const auto found = this->items.find(key);
        return found != this->items.end() && found->second.state == ItemState::Ready;
    }

    void setKv(uint64_t bytes)
    {
        this->kv = bytes;
        this->check();
    }

    uint64_t firstSequence() const { return this->sequence + 1; }
    int overcommitted() const { return this->overcommits; }

private:
    void check() { this->overcommits += this->used() > this->memoryBytes; }

    uint64_t memoryBytes;
    bool obeysFencing;
    uint64_t fencing = 0;
    uint64_t kv = 0;
    uint64_t sequence = 1;
    int overcommits = 0;
    std::map<ItemKey, EngineItem> items;
    std::set<std::string> known;
};

} // namespace tray::test
