// Accelerator memory of the engine stand-in. It never refuses a load for lack of memory but counts
// overcommitments, so that tests can check that the callers never overcommit an engine.
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

/// Identity of an item: kind ("model" or "adapter"), name and version.
using FakeItemKey = std::tuple<std::string, std::string, std::string>;

struct FakeItem
{
    uint64_t bytes = 0;
    FakeItemState state = FakeItemState::Loading;
    /// Number of the load or unload that set the state. When a load or unload ends, it changes the
    /// item only if this number is still its own.
    uint64_t generation = 0;
};

/// Order of the engine protocol, such as to load or to unload an item.
struct FakeOrder
{
    std::string id;
    uint64_t fencingToken = 0;
    std::string action;
    FakeItemKey key;
    uint64_t bytes = 0;
};

/// Effect of an order.
enum class FakeOrderResult { Refused, Duplicate, LoadStarted, UnloadStarted, NoEffect };

/// State of the memory. Takes no time itself: the caller reports the end of each load and unload.
class EngineMemory
{
public:
    EngineMemory(uint64_t capacity, bool enforceFencing)
        : capacity(capacity), enforceFencing(enforceFencing)
    {}

    /// Applies an order. A second order with the same id has no effect. With enforced fencing, an
    /// order with an older token than an earlier one's is refused.
    FakeOrderResult apply(const FakeOrder &order);
    void finishLoad(const FakeItemKey &key, uint64_t generation);
    void finishUnload(const FakeItemKey &key, uint64_t generation);
    /// Sets the size of the KV cache in use, in bytes.
    void setKvBytes(uint64_t bytes);
    /// Resets the state as after a restart of the process. The number of overcommitments stays.
    void restart();

    bool isReady(const std::string &kind, const std::string &name,
                 std::string_view version = {}) const;
    const std::map<FakeItemKey, FakeItem> &items() const { return this->itemTable; }
    /// Bytes of all items, including those that are loading or unloading.
    uint64_t itemBytes() const;
    uint64_t kvBytes() const { return this->kvInUse; }
    uint64_t capacityBytes() const { return this->capacity; }
    uint64_t fencingToken() const { return this->highestFencingToken; }
    /// How often the memory in use went above the capacity.
    uint64_t overcommitCount() const { return this->overcommits; }
    /// Maximum of the bytes of items and KV cache in use.
    uint64_t peakBytes() const { return this->peak; }

private:
    void updateUsage();

    uint64_t capacity;
    bool enforceFencing;
    uint64_t highestFencingToken = 0;
    uint64_t kvInUse = 0;
    uint64_t overcommits = 0;
    uint64_t peak = 0;
    uint64_t lastGeneration = 0;
    bool isOvercommitted = false;
    std::map<FakeItemKey, FakeItem> itemTable;
    std::set<std::string> seenOrderIds;
};

} // namespace tray::fakes
