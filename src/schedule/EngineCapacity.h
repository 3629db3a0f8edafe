// What an engine can run at once, by the configuration and by the engine's own report.
//
// A steward reads the configuration once; gateways follow it, and state in each ask what their
// version of it says. Asks of gateways with different versions arrive in any order.
#pragma once

#include <cstdint>
#include <optional>

namespace tray {

/// What an engine can run at once; 0 if unknown, which does not limit it.
struct EngineCapacity
{
    uint32_t slots = 0;
    uint32_t kvTokens = 0;

    bool operator==(const EngineCapacity &) const = default;
};

/// The capacity that the newest known version of the configuration states.
class ConfiguredCapacity
{
public:
    /// Records what a version of the configuration states. Versions older than the newest known one
    /// are ignored, and so are repetitions of it.
    void note(uint64_t version, const EngineCapacity &stated)
    {
        if (this->version && version <= *this->version)
            return;
        this->version = version;
        this->stated = stated;
    }

    /// Returns the capacity in force: what the engine reports stands for what is not configured.
    EngineCapacity inForce(const EngineCapacity &reported) const
    {
        const auto choose = [](uint32_t configured, uint32_t other) {
            return configured != 0 ? configured : other;
        };
        return {choose(this->stated.slots, reported.slots),
                choose(this->stated.kvTokens, reported.kvTokens)};
    }

    /// Newest known version; none before any is known.
    std::optional<uint64_t> newestVersion() const { return this->version; }

private:
    std::optional<uint64_t> version;
    EngineCapacity stated;
};

} // namespace tray
