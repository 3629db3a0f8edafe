// An upstream as the instance list describes it.
#pragma once

#include "base/Address.h"
#include "base/EnumNames.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tray {

enum class UpstreamPhase : uint8_t { Ready, Draining };

template <>
struct EnumNames<UpstreamPhase>
{
    static constexpr auto Table = std::to_array<EnumName<UpstreamPhase>>({
        {UpstreamPhase::Ready, "ready"},
        {UpstreamPhase::Draining, "draining"},
    });
};

/// A model that an engine holds, with the adapters that are ready on it.
struct HeldModel
{
    std::string name;
    std::vector<std::string> adapters;

    bool operator==(const HeldModel &) const = default;
};

/// One entry of the instance list.
struct UpstreamEntry
{
    std::string id;
    std::string service;
    Address address;
    std::string dataCentre;
    uint32_t slots = 1;
    UpstreamPhase phase = UpstreamPhase::Ready;
    /// Start time of the upstream's current incarnation, in ms since 1970; 0 if it reports none.
    uint64_t startedAtMs = 0;
    /// Orders that the engine has accepted since its start.
    uint64_t sequence = 0;
    std::vector<HeldModel> models;
    /// Version of the upstream's software; empty if it reports none. Only upstreams of the same
    /// version can continue each other's streams.
    std::string softwareVersion;
    /// Time until the upstream ends, if it has announced that.
    std::optional<Duration> remainingLifetime;
};

const HeldModel *findHeldModel(const std::vector<HeldModel> &models, std::string_view name);

/// Whether the model is held, with the adapter if one is named.
bool isHeld(const std::vector<HeldModel> &models, std::string_view model, std::string_view adapter);

} // namespace tray
