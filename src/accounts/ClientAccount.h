// Client accounts: who calls, how urgent their requests are and how many of them are allowed.
#pragma once

#include "base/EnumNames.h"

#include <cstdint>
#include <optional>
#include <string>

namespace tray {

/// What a quota counts.
enum class QuotaUnit : uint8_t { Requests, Tokens };

template <>
struct EnumNames<QuotaUnit>
{
    static constexpr auto Table = std::to_array<EnumName<QuotaUnit>>({
        {QuotaUnit::Requests, "request_count"},
        {QuotaUnit::Tokens, "token_count"},
    });
};

/// Limit on the requests of an account at all gateways together.
struct QuotaSpec
{
    /// Units per second; 0 means that there is no limit.
    double perSecond = 0;
    /// Units that may be used at once in addition to the rate.
    double burst = 0;
    QuotaUnit unit = QuotaUnit::Requests;
    /// Units of a request that states no token usage, if tokens are counted.
    uint32_t plainTokens = 0;

    bool isLimited() const { return this->perSecond > 0; }
    /// Returns the units that a request uses; the token usage is empty if the request states none.
    uint64_t costOf(std::optional<uint64_t> tokenUsage) const
    {
        return this->unit == QuotaUnit::Requests ? 1 : tokenUsage.value_or(this->plainTokens);
    }
    bool operator==(const QuotaSpec &) const = default;
};

struct ClientAccount
{
    std::string name;
    /// Digest of the name, which stands for the account in messages between instances.
    uint64_t digest = 0;
    /// Takes precedence over the rank of the route; 0 is the most urgent.
    std::optional<int> rank;
    QuotaSpec quota;
};

} // namespace tray
