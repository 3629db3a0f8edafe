// Public functions of the control node.
#include "node/ControlNodeImpl.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray {

namespace {

namespace asio = boost::asio;

// Attempts to report a planned stop to the platform. The status is sent over the tree as well.
constexpr int MaxLeaveAttempts = 5;

} // namespace

ControlNode::ControlNode(asio::io_context &context, NodeIdentity identity,
                         const proto::PlatformSection &platform,
                         const proto::ControlSection &control, Metrics &metrics, EventRing &events)
    : impl(std::make_shared<Impl>(context, std::move(identity), platform, control, metrics, events))
{
    const std::weak_ptr<Impl> weak = this->impl;
    const auto gauge = [&](const std::string &name, auto read) {
        metrics.gauge(name, [weak, read] {
            const auto self = weak.lock();
            return self && self->client ? static_cast<double>(read(*self)) : 0.0;
        });
    };
    gauge("tray_control_bytes_sent",
          [](const Impl &node) { return node.client->bytesSent() + node.serverSent; });
    gauge("tray_control_bytes_received",
          [](const Impl &node) { return node.client->bytesReceived() + node.serverReceived; });
    gauge("tray_head_version", [](const Impl &node) {
        const std::lock_guard lock(node.mutex);
        return node.state.headVersion();
    });
}

ControlNode::~ControlNode()
{
    this->stop();
    this->impl->server.reset();
    this->impl->client.reset();
}

Result<Address> ControlNode::listen()
{
    return this->impl->listen();
}

void ControlNode::start(const Address &dataAddress)
{
    auto &node = *this->impl;
    {
        const std::lock_guard lock(node.mutex);
        node.entry.set_data_address(toString(dataAddress));
        node.state.setSelf(node.entry);
    }
    const auto spawn = [&](Impl::Task task) {
        asio::co_spawn(node.strand, std::move(task), asio::detached);
    };
    spawn(node.registerLoop(this->impl));
    spawn(node.syncLoop(this->impl));
    spawn(node.instanceLoop(this->impl));
    spawn(node.watchLoop(this->impl, std::string(HeadKey)));
    spawn(node.watchLoop(this->impl, "placement/"));
}

asio::awaitable<void> ControlNode::announceLeaving()
{
    const auto node = this->impl;
    {
        const std::lock_guard lock(node->mutex);
        node->entry.set_leaving(true);
        node->state.setSelf(node->entry);
    }
    node->wake();
    Backoff backoff(milliseconds(50), milliseconds(400));
    for (int attempt = 0; attempt < MaxLeaveAttempts; ++attempt) {
        const auto removed = co_await node->source.remove(node->identity.instance);
        if (isOk(removed))
            co_return;
        co_await node->sleepFor(backoff.next(node->random()));
    }
}

void ControlNode::stop()
{
    if (!this->impl->stopping.exchange(true))
        this->impl->wake();
}

const NodeIdentity &ControlNode::identity() const
{
    return this->impl->identity;
}

ObjectApi &ControlNode::objectApi()
{
    return this->impl->api;
}

std::shared_ptr<const Catalogue> ControlNode::catalogue() const
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->state.catalogue();
}

void ControlNode::noteHeadVersion(uint64_t seen)
{
    this->impl->noteHeadVersion(seen);
}

asio::awaitable<bool> ControlNode::awaitHeadVersion(uint64_t wanted, Instant deadline)
{
    const auto node = this->impl;
    node->noteHeadVersion(wanted);
    while (this->headVersion() < wanted) {
        if (node->now() >= deadline || node->stopping)
            co_return false;
        co_await node->sleepFor(milliseconds(5));
    }
    co_return true;
}

bool ControlNode::isFresh(Instant now) const
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->state.isFresh(now);
}

bool ControlNode::isPlatformUnreachable() const
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->state.isPlatformUnreachable(this->impl->now());
}

std::shared_ptr<const UpstreamStatuses> ControlNode::statuses() const
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->state.statuses();
}

void ControlNode::setOwnStatus(proto::UpstreamStatus status)
{
    {
        const std::lock_guard lock(this->impl->mutex);
        this->impl->state.setOwnStatus(std::move(status), this->impl->now());
    }
    this->impl->wake();
}

std::shared_ptr<const proto::InstanceList> ControlNode::instances() const
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->state.instances();
}

std::optional<proto::Wish::Upstream>
ControlNode::requestedPlacement(const std::string &upstream) const
{
    const std::lock_guard lock(this->impl->mutex);
    const auto &placements = this->impl->state.requestedPlacements();
    const auto found = placements.find(this->impl->identity.region);
    if (found == placements.end())
        return std::nullopt;
    for (const auto &row : found->second.upstreams()) {
        if (row.upstream() == upstream)
            return row;
    }
    return std::nullopt;
}

void ControlNode::addDemand(const proto::Demand &demand)
{
    const std::lock_guard lock(this->impl->mutex);
    this->impl->state.demand().addFromBelow(demand);
}

std::vector<proto::Demand> ControlNode::takeSystemDemand()
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->state.demand().takeLocal();
}

void ControlNode::reportCrash(uint64_t contentDigest, const std::string &upstream, Instant now)
{
    std::vector<proto::Suspect> newSuspects;
    {
        const std::lock_guard lock(this->impl->mutex);
        auto &suspects = this->impl->state.suspects();
        if (suspects.recordCrash(contentDigest, upstream, now))
            newSuspects.push_back(suspects.find(contentDigest, now));
    }
    this->impl->propagateSuspects(newSuspects, this->impl->identity.instance);
    this->impl->events.add(wallNow(), "suspect", upstream, "an engine died while it ran a request");
    this->impl->wake();
}

uint32_t ControlNode::crashCount(uint64_t contentDigest, Instant now) const
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->state.suspects().crashCount(contentDigest, now);
}

void ControlNode::setHandler(proto::ControlRequest::BodyCase kind, Handler handler)
{
    const std::lock_guard lock(this->impl->mutex);
    this->impl->handlers[kind] = std::move(handler);
}

asio::awaitable<Result<proto::ControlReply>>
ControlNode::call(Address peer, proto::ControlRequest request, Duration timeout)
{
    return this->impl->call(std::move(peer), std::move(request), timeout);
}

} // namespace tray
