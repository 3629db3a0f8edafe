// Synchronises a node with its parent in the relay tree, and checks upstreams that no process
// reports as reachable.
#include "node/ControlNodeImpl.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

namespace tray {

namespace {

namespace asio = boost::asio;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
// Minimum time between the starts of two syncs.
constexpr auto MinSyncInterval = milliseconds(50);
// Sections requested at a time; keeps replies far below the maximum message size.
constexpr size_t SectionsPerRequest = 16;
// Number of upstreams of a data centre that are contacted before all of them are considered
// unreachable.
constexpr size_t SampleSize = 3;
// A relay queries the other relays if its last contact with the platform is at least this old. The
// list is read every second, so the age stays below this while the platform is reachable.
constexpr auto PeerQueryThreshold = milliseconds(1100);

} // namespace

ControlNode::Impl::Task ControlNode::Impl::sleepFor(Duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(Await);
}

void ControlNode::Impl::wake()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->woken = true;
        self->wakeTimer.cancel();
    });
}

std::vector<proto::InstanceEntry> ControlNode::Impl::parentCandidates() const
{
    std::vector<proto::InstanceEntry> found;
    bool listKnown = false;
    {
        const std::lock_guard lock(this->mutex);
        found = this->state.tree().parents();
        listKnown = !this->state.instances()->instances().empty();
    }
    if (listKnown)
        return found;
    // Without a list, the candidates are the peers from the settings.
    std::string rest = this->settings.peers();
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        proto::InstanceEntry peer;
        peer.set_id(rest.substr(0, comma));
        peer.set_control_address(peer.id());
        if (peer.id() != this->entry.control_address())
            found.push_back(std::move(peer));
        rest.erase(0, comma + 1);
    }
    return found;
}

ControlNode::Impl::Task ControlNode::Impl::syncLoop(Self self)
{
    const milliseconds interval(self->settings.sync_interval_ms());
    while (!self->stopping) {
        const auto startedAt = self->now();
        self->woken = false;
        const bool syncAgain = co_await self->syncOnce();
        self->startChecks(self->now());
        co_await self->queryPeers();
        if (!self->woken && !syncAgain) {
            // Jitter keeps the children of one parent from polling in step.
            const double factor = 0.9 + 0.2 * self->random();
            const auto wait = std::chrono::duration<double>(interval) * factor;
            self->wakeTimer.expires_after(std::chrono::duration_cast<Duration>(wait));
            co_await self->wakeTimer.async_wait(Await);
        }
        const auto rest = startedAt + MinSyncInterval - self->now();
        if (rest > Duration::zero())
            co_await self->sleepFor(rest);
    }
}

asio::awaitable<bool> ControlNode::Impl::syncOnce()
{
    const auto parents = this->parentCandidates();
    this->parentSelector.retainOnly(parents);
    const auto *chosen = this->parentSelector.choose(parents, this->now());
    {
        const std::lock_guard lock(this->mutex);
        this->relaying = this->state.tree().isRelay() || chosen == nullptr;
        if (chosen == nullptr)
            this->state.actAsRoot(this->now());
    }
    if (chosen == nullptr)
        co_return false;
    co_return co_await this->syncWith(*chosen);
}

asio::awaitable<bool> ControlNode::Impl::syncWith(proto::InstanceEntry parent)
{
    const auto address = parseAddress(parent.control_address());
    const auto sentAt = this->now();
    if (!isOk(address)) {
        this->parentSelector.noteFailure(parent.id(), sentAt, this->random());
        co_return true;
    }
    NodeState::Poll poll;
    proto::ControlRequest request;
    uint64_t headBefore = 0;
    {
        const std::lock_guard lock(this->mutex);
        poll = this->state.makePoll(parent.id(), sentAt);
        headBefore = this->state.headVersion();
    }
    *request.mutable_sync() = poll.request;
    const auto reply = co_await this->call(value(address), std::move(request),
                                           milliseconds(this->settings.request_timeout_ms()));
    const auto now = this->now();
    if (!isOk(reply) || !value(reply).has_sync()) {
        this->parentSelector.noteFailure(parent.id(), now, this->random());
        const std::lock_guard lock(this->mutex);
        this->state.onPollFailed(poll, now);
        co_return true;
    }
    this->parentSelector.noteSuccess(parent.id());
    bool syncAgain = false;
    {
        const std::lock_guard lock(this->mutex);
        syncAgain = this->state.applyReply(poll, value(reply).sync(), now);
    }
    co_await this->fetchSections(value(address));
    this->logHeadChange(headBefore);
    co_return syncAgain;
}

ControlNode::Impl::Task ControlNode::Impl::fetchSections(Address peer)
{
    while (true) {
        proto::ControlRequest request;
        size_t missingCount = 0;
        {
            const std::lock_guard lock(this->mutex);
            const auto missing = this->state.missingDigests();
            missingCount = missing.size();
            for (size_t i = 0; i < missing.size() && i < SectionsPerRequest; ++i)
                request.mutable_sections()->add_digests(missing[i]);
        }
        if (missingCount == 0)
            co_return;
        const auto reply =
            co_await this->call(peer, request, milliseconds(this->settings.request_timeout_ms()));
        if (!isOk(reply))
            co_return;
        const auto &sections = value(reply).sections().sections();
        const std::lock_guard lock(this->mutex);
        this->state.addSections({sections.begin(), sections.end()});
        // The peer has a newer head in force, which the next sync offers.
        if (this->state.missingDigests().size() >= missingCount)
            co_return;
    }
}

void ControlNode::Impl::logHeadChange(uint64_t headBefore)
{
    uint64_t head = 0;
    {
        const std::lock_guard lock(this->mutex);
        head = this->state.headVersion();
    }
    if (head == headBefore)
        return;
    this->events.add(wallNow(), "head_in_force", std::to_string(head), "");
    spdlog::info("event=head_in_force version={}", head);
}

ControlNode::Impl::Task ControlNode::Impl::queryPeers()
{
    std::vector<proto::InstanceEntry> peers;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->relaying ||
            this->now() - this->state.lastPlatformContactAt() < PeerQueryThreshold)
            co_return;
        peers = this->state.tree().regionRelays();
    }
    for (auto &peer : peers)
        asio::co_spawn(this->strand, this->queryPeer(this->shared_from_this(), std::move(peer)),
                       asio::detached);
}

ControlNode::Impl::Task ControlNode::Impl::queryPeer(Self self, proto::InstanceEntry peer)
{
    const auto address = parseAddress(peer.control_address());
    if (!isOk(address))
        co_return;
    proto::ControlRequest request;
    uint64_t headBefore = 0;
    {
        const std::lock_guard lock(self->mutex);
        *request.mutable_sync() = self->state.makeQuery();
        headBefore = self->state.headVersion();
    }
    const auto sentAt = self->now();
    const auto reply = co_await self->call(value(address), request,
                                           milliseconds(self->settings.request_timeout_ms()));
    if (!isOk(reply) || !value(reply).has_sync())
        co_return;
    {
        const std::lock_guard lock(self->mutex);
        self->state.applyPeerReply(peer.id(), value(reply).sync(), sentAt, self->now());
    }
    co_await self->fetchSections(value(address));
    self->logHeadChange(headBefore);
}

void ControlNode::Impl::startChecks(Instant now)
{
    NodeState::UnconfirmedStatuses unconfirmed;
    {
        const std::lock_guard lock(this->mutex);
        unconfirmed = this->state.takeUnconfirmed(now);
        this->state.forgetLost(now);
        this->state.suspects().expire(now);
    }
    const auto self = this->shared_from_this();
    for (auto &status : unconfirmed.individual)
        asio::co_spawn(this->strand, this->checkUnresponsive(self, std::move(status)),
                       asio::detached);
    for (auto &[dataCentre, statuses] : unconfirmed.orphans)
        asio::co_spawn(this->strand, this->checkDataCentre(self, std::move(statuses)),
                       asio::detached);
}

ControlNode::Impl::Task ControlNode::Impl::checkUnresponsive(Self self, StatusTable::Status status)
{
    const bool reachable = co_await self->isReachable(status);
    if (!reachable)
        self->markLost(status);
}

ControlNode::Impl::Task
ControlNode::Impl::checkDataCentre(Self self, std::vector<StatusTable::Status> statuses)
{
    // If none of a small sample answers, all are considered unreachable, so that a cut link
    // costs few calls.
    const size_t sample = std::min(statuses.size(), SampleSize);
    bool anyReachable = false;
    for (size_t i = 0; i < sample && !anyReachable; ++i)
        anyReachable = co_await self->isReachable(statuses[i * statuses.size() / sample]);
    for (auto &status : statuses) {
        const bool reachable = anyReachable && co_await self->isReachable(status);
        if (!reachable)
            self->markLost(status);
    }
}

asio::awaitable<bool> ControlNode::Impl::isReachable(StatusTable::Status status)
{
    const auto address = parseAddress(status->control_address());
    if (!isOk(address))
        co_return false;
    proto::ControlRequest request;
    {
        const std::lock_guard lock(this->mutex);
        *request.mutable_sync() = this->state.makeQuery();
    }
    const auto reply = co_await this->call(value(address), std::move(request),
                                           milliseconds(this->settings.request_timeout_ms()));
    co_return isOk(reply);
}

void ControlNode::Impl::markLost(const StatusTable::Status &status)
{
    this->events.add(wallNow(), "upstream_lost", status->upstream(), "its agent does not answer");
    spdlog::warn("event=upstream_lost upstream={}", status->upstream());
    const std::lock_guard lock(this->mutex);
    this->state.markLost(status, this->now());
}

} // namespace tray
