// Control part that every tray-entry and tray-agent embeds: sync over the relay tree, relays' watch
// on the platform, status table, wishes, suspects, demand, and the control channel with its
// handlers.
#pragma once

#include "base/Address.h"
#include "base/Result.h"
#include "base/Time.h"
#include "catalogue/Catalogue.h"
#include "observe/EventRing.h"
#include "observe/Metrics.h"

#include "control.pb.h"
#include "settings_common.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tray {

class ObjectApi;

/// Who a control node is.
struct NodeIdentity
{
    std::string instance;
    std::string dataCentre;
    std::string region;
    /// "entry" or "agent".
    std::string role;
    /// Name of the upstream of an agent.
    std::string upstream;
};

/// All agents' states at one moment.
using UpstreamStatuses = std::vector<std::shared_ptr<const proto::UpstreamStatus>>;

/// Keeps this process in step with the others. Safe to use from any thread.
class ControlNode
{
public:
    ControlNode(boost::asio::io_context &context, NodeIdentity identity,
                const proto::PlatformSection &platform, const proto::ControlSection &control,
                Metrics &metrics, EventRing &events);
    ~ControlNode();

    /// Binds the control channel and returns its address. Call run() next.
    Result<Address> listen();
    /// Registers with the instance list and starts to sync. dataAddress is where entries reach an
    /// agent, or callers an entry.
    void start(const Address &dataAddress);
    /// Says that this process leaves: no new work is to come here.
    boost::asio::awaitable<void> announceLeaving();
    /// Ends all loops. The object may be destroyed once the context has stopped.
    void stop();

    const NodeIdentity &identity() const;
    ObjectApi &objectApi();

    /// Configuration in force here; never null.
    std::shared_ptr<const Catalogue> catalogue() const;
    uint64_t headVersion() const { return this->catalogue()->headVersion(); }
    /// A message from a peer carried this head version; a newer one starts a sync at once.
    void noteHeadVersion(uint64_t seen);
    /// Waits until the head version is in force here; false at the deadline.
    boost::asio::awaitable<bool> awaitHeadVersion(uint64_t wanted, Instant deadline);

    /// The state of this process is fresh enough to take new work.
    bool isFresh(Instant now) const;
    /// No relay reaches the platform.
    bool isPlatformOut() const;

    /// Status of all upstreams; the pointer changes when any status does.
    std::shared_ptr<const UpstreamStatuses> statuses() const;
    /// Replaces the status of the own upstream (agents). Epoch and sequence are the caller's to
    /// raise.
    void setOwnStatus(proto::UpstreamStatus status);
    /// Live and leaving instances as last heard; never null.
    std::shared_ptr<const proto::InstanceList> instances() const;
    /// Placement wish for an upstream, if a planner has made one.
    std::optional<proto::Wish::Upstream> wishFor(const std::string &upstream) const;

    /// Adds to the demand that travels up the tree.
    void addDemand(const proto::Demand &demand);
    /// Demand of the whole system since the last call; on relays only.
    std::vector<proto::Demand> takeDemand();

    /// Counts a crash of an upstream while it ran a request, and spreads it.
    void reportCrash(uint64_t contentDigest, const std::string &upstream, Instant now);
    /// Crashes counted against a request.
    uint32_t crashesOf(uint64_t contentDigest, Instant now) const;

    /// Handles one kind of control request beside the node's own; replies once, from any thread.
    using Handler = std::function<void(proto::ControlRequest request,
                                       std::function<void(proto::ControlReply)> reply)>;
    void setHandler(proto::ControlRequest::BodyCase kind, Handler handler);

    /// Sends a control request to a peer. Fails with Timeout, UpstreamUnreachable or the error of
    /// the reply.
    boost::asio::awaitable<Result<proto::ControlReply>>
    call(Address peer, proto::ControlRequest request, Duration timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
