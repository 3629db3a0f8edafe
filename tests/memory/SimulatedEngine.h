// Simulated engine that counts its memory exactly and executes each command id at most once.
#pragma once

#include "memory/EngineState.h"

#include <deque>
#include <map>
#include <set>

namespace tray::test {

/// Test oracle for the ledger: counts the states in which the engine holds more than its memory.
class SimulatedEngine
{
public:
    SimulatedEngine(uint64_t memoryBytes, bool obeysFencing)
        : memoryBytes(memoryBytes), obeysFencing(obeysFencing)
    {}

    enum class Answer { Accepted, Refused };

    Answer apply(const EngineCommand &command)
    {
        if (this->obeysFencing && command.fencing < this->fencing)
            return Answer::Refused;
        this->fencing = std::max(this->fencing, command.fencing);
        if (this->executedIds.insert(command.id).second) {
            const auto found = this->items.find(command.key);
            if (command.action == CommandAction::Load && found == this->items.end())
                this->items[command.key] = {command.key, command.bytes, ItemState::Loading};
            if (command.action == CommandAction::Unload && found != this->items.end())
                found->second.state = ItemState::Unloading;
        }
        this->check();
        return Answer::Accepted;
    }

    /// Completes loads and unloads in progress; the callback decides for each whether it completes
    /// now.
    template <typename Completes>
    void progress(Completes &&completes)
    {
        for (auto it = this->items.begin(); it != this->items.end();) {
            auto &item = it->second;
            if (item.state == ItemState::Ready || !completes()) {
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
        this->executedIds.clear();
        this->fencing = 0;
        this->kv = 0;
        this->sequence = 1;
    }

    EngineStatus report() const
    {
        EngineStatus report;
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
    std::set<std::string> executedIds;
};

} // namespace tray::test
