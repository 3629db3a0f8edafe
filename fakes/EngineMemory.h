// Memory of the engine stand-in. It never refuses for lack of room; it counts overcommitment and is
// the oracle of tests.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace tray::fakes {

/// State of an item in the engine's memory.
enum class FakeItemState { Loading, Ready, Unloading };

/// Kind ("model" or "adapter"), name and version.
using FakeItemKey = std::tuple<std::string, std::string, std::string>;

struct FakeItem
{
    uint64_t bytes = 0;
    FakeItemState state = FakeItemState::Loading;
    /// Counts the loads of the process, so that a late end of a load finds only its own item.
    uint64_t generation = 0;
};

/// An order as the engine protocol carries it.
struct FakeOrder
{
    std::string id;
    uint64_t fencing = 0;
    std::string action;
    FakeItemKey key;
    uint64_t bytes = 0;
};

/// What an order did.
enum class FakeOrderResult { Refused, Repeated, LoadBegun, UnloadBegun, NoEffect };

/// Pure state; time is the caller's.
class EngineMemory
{
public:
    EngineMemory(uint64_t memoryBytes, bool fencingObeyed)
        : memoryBytes(memoryBytes), fencingObeyed(fencingObeyed)
    {}

    /// Applies an order. An order id takes effect once.
    FakeOrderResult apply(const FakeOrder &order);
    void finishLoad(const FakeItemKey &key, uint64_t generation);
    void finishUnload(const FakeItemKey &key, uint64_t generation);
    /// Sets the KV cache in use.
    void setKv(uint64_t bytes);
    /// The process died and started anew. The count of overcommitments stays.
    void restart();

    bool isReady(const std::string &kind, const std::string &name,
                 std::string_view version = {}) const;
    const std::map<FakeItemKey, FakeItem> &items() const { return this->itemTable; }
    uint64_t itemBytes() const;
    uint64_t kvBytes() const { return this->kv; }
    uint64_t memory() const { return this->memoryBytes; }
    uint64_t fencing() const { return this->highestFencing; }
    uint64_t overcommitted() const { return this->overcommitCount; }
    /// Largest sum of items and KV cache seen.
    uint64_t peakBytes() const { return this->peak; }

private:
    void check();

    uint64_t memoryBytes;
    bool fencingObeyed;
    uint64_t highestFencing = 0;
    uint64_t kv = 0;
    uint64_t overcommitCount = 0;
    uint64_t peak = 0;
    uint64_t generations = 0;
    bool over = false;
    std::map<FakeItemKey, FakeItem> itemTable;
    std::set<std::string> knownOrders;
};

} // namespace tray::fakes
