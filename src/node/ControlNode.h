// Control-plane node that every tray-entry and tray-agent embeds: sync over the relay tree, the
// relays' watches on the platform, the status table, requested placements, suspects, demand, and
// the control channel with its handlers.
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

/// Identity and location of a control node.
struct NodeIdentity
{
    std::string instance;
    std::string dataCentre;
    std::string region;
    /// "entry" or "agent".
    std::string role;
    /// Name of an agent's upstream; empty for an entry.
    std::string upstream;
};

/// Statuses of all upstreams at one moment.
using UpstreamStatuses = std::vector<std::shared_ptr<const proto::UpstreamStatus>>;

/// Synchronises the state of this process with the other processes. Safe to use from any thread.
class ControlNode
{
public:
    ControlNode(boost::asio::io_context &context, NodeIdentity identity,
                const proto::PlatformSection &platform, const proto::ControlSection &control,
                Metrics &metrics, EventRing &events);
    ~ControlNode();

    /// Binds the control channel and returns its address. Call start() next.
    Result<Address> listen();
    /// Registers this process in the instance list and starts to sync. dataAddress is the address
    /// at which entries reach an agent, or callers an entry.
    void start(const Address &dataAddress);
    /// Announces that this process is leaving, so that it is sent no new work.
    boost::asio::awaitable<void> announceLeaving();
    /// Requests the end of all loops. The object may be destroyed once the context has stopped.
    void stop();

    const NodeIdentity &identity() const;
    ObjectApi &objectApi();

    /// Configuration in force in this process; never null.
    std::shared_ptr<const Catalogue> catalogue() const;
    uint64_t headVersion() const { return this->catalogue()->headVersion(); }
    /// Records the head version of a message from a peer. A newer one starts a sync immediately.
    void noteHeadVersion(uint64_t seen);
    /// Waits until the head version is in force in this process. Returns false at the deadline.
    boost::asio::awaitable<bool> awaitHeadVersion(uint64_t wanted, Instant deadline);

    /// Whether the state of this process is fresh enough to accept new work.
    bool isFresh(Instant now) const;
    /// Whether no relay reaches the platform.
    bool isPlatformUnreachable() const;

    /// Status of all upstreams; the pointer changes when any status does.
    std::shared_ptr<const UpstreamStatuses> statuses() const;
    /// Replaces the status of this agent's upstream. The caller must raise the epoch or the
    /// sequence.
    void setOwnStatus(proto::UpstreamStatus status);
    /// Live and leaving instances as last received; never null.
    std::shared_ptr<const proto::InstanceList> instances() const;
    /// Models and adapters that the region's planner requests for an upstream, if it has made a
    /// request.
    std::optional<proto::Wish::Upstream> requestedPlacement(const std::string &upstream) const;

    /// Adds demand to what this process sends up the relay tree.
    void addDemand(const proto::Demand &demand);
    /// Returns and removes the system-wide demand received since the last call; on relays only.
    std::vector<proto::Demand> takeSystemDemand();

    /// Counts a crash of an upstream while it ran a request, and reports it to the other processes.
    void reportCrash(uint64_t contentDigest, const std::string &upstream, Instant now);
    /// Number of crashes counted for a request.
    uint32_t crashCount(uint64_t contentDigest, Instant now) const;

    /// Handler of a kind of control request that the node does not handle itself. It replies once,
    /// from any thread.
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
