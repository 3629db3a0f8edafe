// Status reports of an engine and the commands it receives, as plain values without a transport.
#pragma once

#include "base/EnumNames.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace tray {

enum class ItemKind : uint8_t { Model, Adapter };

/// State of an item in the engine's status report.
enum class ItemState : uint8_t { Loading, Ready, Unloading };

enum class CommandAction : uint8_t { Load, Unload, Role };

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
struct EnumNames<CommandAction>
{
    static constexpr auto Table = std::to_array<EnumName<CommandAction>>({
        {CommandAction::Load, "load"},
        {CommandAction::Unload, "unload"},
        {CommandAction::Role, "role"},
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

/// Status report of an engine. Its sequence number increases with each state change of the engine
/// process.
struct EngineStatus
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

/// A command to an engine, which executes each id at most once.
struct EngineCommand
{
    std::string id;
    uint64_t fencing = 0;
    CommandAction action = CommandAction::Load;
    ItemKey key;
    uint64_t bytes = 0;
    /// Base model of an adapter.
    std::string base;
};

} // namespace tray
