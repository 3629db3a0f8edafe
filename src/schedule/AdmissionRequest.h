// A request for admission at an engine, and the reply to it.
#pragma once

#include "base/Address.h"
#include "base/EnumNames.h"
#include "base/Time.h"

#include <compare>
#include <cstdint>
#include <limits>
#include <string>

namespace tray {

/// Identity of a request among all gateways.
struct AdmissionKey
{
    /// Random number of the gateway's process.
    uint64_t incarnation = 0;
    uint64_t ticket = 0;

    auto operator<=>(const AdmissionKey &) const = default;
};

struct AdmissionRequest
{
    AdmissionKey key;
    /// Instance name of the gateway, which is the same for all its processes.
    std::string sender;
    Address replyTo;
    /// 0 is the most urgent.
    uint32_t priority = 0;
    /// Digest of the client account's name; 0 without an account.
    uint64_t account = 0;
    /// Prefill time on the fastest engines.
    Duration prefill{};
    /// Memory that the request needs until its end, in tokens.
    uint32_t kvTokens = 0;
    /// Time for which it may be queued, and until its deadline, from its first ask.
    Duration limit{};
    Duration deadline{};
    /// Longest pause between two events that its caller accepts; 0 if it is no stream.
    Duration eventGap{};
    /// Usual gap between events at the fastest engines of the service; 0 if unknown.
    Duration fastestGap{};
};

enum class AdmissionVerdict : uint8_t { Granted, Queued, Refused };

template <>
struct EnumNames<AdmissionVerdict>
{
    static constexpr auto Table = std::to_array<EnumName<AdmissionVerdict>>({
        {AdmissionVerdict::Granted, "granted"},
        {AdmissionVerdict::Queued, "queued"},
        {AdmissionVerdict::Refused, "refused"},
    });
};

struct AdmissionReply
{
    /// Expected wait of a request that the engine can never take.
    static constexpr uint32_t Never = std::numeric_limits<uint32_t>::max();

    AdmissionKey key;
    Address replyTo;
    AdmissionVerdict verdict = AdmissionVerdict::Queued;
    /// Expected time until the request is granted, in ms; Never if it does not fit into the engine.
    uint32_t expectedMs = 0;
    /// The same verdict was sent before.
    bool isRepeated = false;
};

} // namespace tray
