// Reports of and orders to the engine beside a steward, free of the engine's protocol.
#pragma once

#include "base/Result.h"
#include "fleet/Upstream.h"

#include <boost/asio/awaitable.hpp>

namespace tray {

/// An engine's own word on itself.
struct EngineReport
{
    uint64_t startedAtMs = 0;
    /// Orders that the engine has accepted since its start.
    uint64_t sequence = 0;
    /// An order about a model is being carried out.
    bool busy = false;
    std::vector<HeldModel> models;
    /// Adapters on their way to the engine; they take places already.
    std::vector<HeldModel> adaptersInTransit;
    std::vector<std::string> modelsInMemory;
    std::vector<std::string> modelsOnDisk;
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t kvUsedTokens = 0;
    uint32_t kvTotalTokens = 0;
    bool leaving = false;
};

enum class OrderVerb : uint8_t { Load, Unload };

template <>
struct EnumNames<OrderVerb>
{
    static constexpr auto Table = std::to_array<EnumName<OrderVerb>>({
        {OrderVerb::Load, "load"},
        {OrderVerb::Unload, "unload"},
    });
};

/// An order for a model, or for an adapter of a model that is held.
struct EngineOrder
{
    OrderVerb verb = OrderVerb::Load;
    std::string model;
    /// Empty for an order about the model itself.
    std::string adapter;
    /// Sequence of the report that the order rests on; the engine refuses it at any other.
    uint64_t expectedSequence = 0;
};

/// Who orders, and which engine is meant.
struct OrderAuthority
{
    std::string holder;
    /// Only rises over all lives of all holders.
    uint64_t fencingToken = 0;
    std::string upstreamId;
};

enum class OrderReply : uint8_t {
    Accepted,
    AlreadyHolds,
    /// Another order is being carried out, or the sequence has moved on.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// The upstream at the address is another one.
    OtherUpstream,
    Rejected,
    /// No answer: the order may take effect now or later.
    Unknown,
};

template <>
struct EnumNames<OrderReply>
{
    static constexpr auto Table = std::to_array<EnumName<OrderReply>>({
        {OrderReply::Accepted, "accepted"},
        {OrderReply::AlreadyHolds, "already_holds"},
        {OrderReply::Conflict, "conflict"},
        {OrderReply::Fenced, "fenced"},
        {OrderReply::OtherUpstream, "other_upstream"},
        {OrderReply::Rejected, "rejected"},
        {OrderReply::Unknown, "unknown"},
    });
};

class OrderPort
{
public:
    virtual ~OrderPort() = default;

    virtual boost::asio::awaitable<Result<EngineReport>> report() = 0;
    virtual boost::asio::awaitable<OrderReply> order(EngineOrder order,
                                                     OrderAuthority authority) = 0;
};

} // namespace tray
