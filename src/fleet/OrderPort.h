// Protocol-independent interface to the engine beside a steward: its reports and the orders to it.
#pragma once

#include "base/Result.h"
#include "fleet/Upstream.h"

#include <boost/asio/awaitable.hpp>

namespace tray {

/// State of an engine as reported by itself.
struct EngineReport
{
    uint64_t startedAtMs = 0;
    /// Orders that the engine has accepted since its start.
    uint64_t sequence = 0;
    /// A model order is in progress.
    bool busy = false;
    std::vector<HeldModel> models;
    /// Adapters that are being fetched; they already occupy adapter slots.
    std::vector<HeldModel> adaptersInTransit;
    std::vector<std::string> modelsInMemory;
    std::vector<std::string> modelsOnDisk;
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t kvUsedTokens = 0;
    uint32_t kvTotalTokens = 0;
    /// Requests that run at once; 0 if the engine does not report it.
    uint32_t slots = 0;
    /// Time that work takes on the engine's machine now, in percent of the usual time; 0 if the
    /// engine does not report it.
    uint32_t pacePercent = 0;
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

/// An order to load or unload a model, or an adapter of a model that the engine holds.
struct EngineOrder
{
    OrderVerb verb = OrderVerb::Load;
    std::string model;
    /// Empty for a model order.
    std::string adapter;
    /// Sequence of the report that the order is based on; the engine refuses the order at any other
    /// sequence.
    uint64_t expectedSequence = 0;
};

/// Sender of an order and the engine that it is meant for.
struct OrderAuthority
{
    std::string holder;
    /// Only rises over all incarnations of all holders.
    uint64_t fencingToken = 0;
    std::string upstreamId;
};

enum class OrderReply : uint8_t {
    Accepted,
    AlreadyHolds,
    /// Another order is in progress, or the sequence has changed.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Another upstream is running at the address.
    OtherUpstream,
    Rejected,
    /// No reply: the order may have taken effect or may do so later.
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
