// What an engine reports and what it is ordered to do, as plain values.
#pragma once

#include "base/EnumNames.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace tray {

enum class ItemKind : uint8_t { Model, Adapter };

/// State of an item as its engine reports it.
enum class ItemState : uint8_t { Loading, Ready, Unloading };

enum class OrderAction : uint8_t { Load, Unload, Role };

template <>
struct EnumNames<ItemKind>
{
    static constexpr auto Table = std::to_array<EnumName<ItemKind>>({
        {ItemKind::Model, "model"},
        {ItemKind::Adapter, "adapter"},
    });
};

template <>
struct EnumNames<ItemState>
{
    static constexpr auto Table = std::to_array<EnumName<ItemState>>({
        {ItemState::Loading, "loading"},
        {ItemState::Ready, "ready"},
        {ItemState::Unloading, "unloading"},
    });
};

template <>
struct EnumNames<OrderAction>
{
    static constexpr auto Table = std::to_array<EnumName<OrderAction>>({
        {OrderAction::Load, "load"},
        {OrderAction::Unload, "unload"},
        {OrderAction::Role, "role"},
    });
};

/// One version of a model or adapter.
struct ItemKey
{
    ItemKind kind = ItemKind::Model;
    std::string name;
    std::string version;

    auto operator<=>(const ItemKey &) const = default;
};

struct EngineItem
{
    ItemKey key;
    uint64_t bytes = 0;
    ItemState state = ItemState::Loading;
};

/// An engine's report. Its sequence number grows with each state of the engine process.
struct EngineReport
{
    uint64_t sequence = 0;
    /// Highest fencing token that the engine process has seen.
    uint64_t fencing = 0;
    uint64_t memoryBytes = 0;
    uint64_t kvBytesUsed = 0;
    uint64_t kvBytesLimit = 0;
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint64_t overcommitted = 0;
    std::string role;
    std::vector<EngineItem> items;
};

/// An order; the engine executes each id at most once.
struct EngineOrder
{
    std::string id;
    uint64_t fencing = 0;
    OrderAction action = OrderAction::Load;
    ItemKey key;
    uint64_t bytes = 0;
    /// Base model of an adapter.
    std::string base;
};

} // namespace tray
