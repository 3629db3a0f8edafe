// Sync of a node with its parent in the relay tree.
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
// Two syncs that are woken follow each other no faster than this.
constexpr auto ShortestInterval = milliseconds(50);
// Sections asked for in one request; keeps replies far below the largest message.
constexpr size_t SectionsPerRequest = 16;
// Upstreams of a data centre that are asked before all of them are taken for unreachable.
constexpr size_t SampleSize = 3;
// A relay asks the other relays from this age of its last word from the platform on. Its list is
// read every second, so a healthy age stays below.
constexpr auto AskPeersAfter = milliseconds(1100);

} // namespace

ControlNode::Impl::Task ControlNode::Impl::pause(Duration time)
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

std::vector<proto::InstanceEntry> ControlNode::Impl::candidates() const
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
    // Without a list, the peers of the settings are asked.
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
        const bool again = co_await self->syncOnce();
        self->startChecks(self->now());
        co_await self->queryPeers();
        if (!self->woken && !again) {
            // Jitter keeps the children of one parent from polling in step.
            const double factor = 0.9 + 0.2 * self->random();
            const auto wait = std::chrono::duration<double>(interval) * factor;
            self->wakeTimer.expires_after(std::chrono::duration_cast<Duration>(wait));
            co_await self->wakeTimer.async_wait(Await);
        }
        const auto rest = startedAt + ShortestInterval - self->now();
        if (rest > Duration::zero())
            co_await self->pause(rest);
    }
}

asio::awaitable<bool> ControlNode::Impl::syncOnce()
{
    const auto parents = this->candidates();
    this->choice.retainOnly(parents);
    const auto *chosen = this->choice.choose(parents, this->now());
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
        this->choice.noteFailure(parent.id(), sentAt, this->random());
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
        this->choice.noteFailure(parent.id(), now, this->random());
        const std::lock_guard lock(this->mutex);
        this->state.pollFailed(poll, now);
        co_return true;
    }
    this->choice.noteSuccess(parent.id());
    bool again = false;
    {
        const std::lock_guard lock(this->mutex);
        again = this->state.applyReply(poll, value(reply).sync(), now);
    }
    co_await this->fetchSections(value(address));
    this->noteChange(headBefore);
    co_return again;
}

ControlNode::Impl::Task ControlNode::Impl::fetchSections(Address peer)
{
    while (true) {
        proto::ControlRequest request;
        size_t missingBefore = 0;
        {
            const std::lock_guard lock(this->mutex);
            const auto missing = this->state.missing();
            missingBefore = missing.size();
            for (size_t i = 0; i < missing.size() && i < SectionsPerRequest; ++i)
                request.mutable_sections()->add_digests(missing[i]);
        }
        if (missingBefore == 0)
            co_return;
        const auto reply =
            co_await this->call(peer, request, milliseconds(this->settings.request_timeout_ms()));
        if (!isOk(reply))
            co_return;
        const auto &sections = value(reply).sections().sections();
        const std::lock_guard lock(this->mutex);
        this->state.addSections({sections.begin(), sections.end()});
        // The peer has moved on to a later head; the next sync offers that one.
        if (this->state.missing().size() >= missingBefore)
            co_return;
    }
}

void ControlNode::Impl::noteChange(uint64_t headBefore)
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
        if (!this->relaying || this->now() - this->state.platformHeardAt() < AskPeersAfter)
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
        self->state.applyPeer(peer.id(), value(reply).sync(), sentAt, self->now());
    }
    co_await self->fetchSections(value(address));
    self->noteChange(headBefore);
}

void ControlNode::Impl::startChecks(Instant now)
{
    NodeState::Silent silent;
    {
        const std::lock_guard lock(this->mutex);
        silent = this->state.takeSilent(now);
        this->state.forgetGone(now);
        this->state.suspects().expire(now);
    }
    const auto self = this->shared_from_this();
    for (auto &status : silent.single)
        asio::co_spawn(this->strand, this->checkSilent(self, std::move(status)), asio::detached);
    for (auto &[dataCentre, statuses] : silent.orphans)
        asio::co_spawn(this->strand, this->checkDataCentre(self, std::move(statuses)),
                       asio::detached);
}

ControlNode::Impl::Task ControlNode::Impl::checkSilent(Self self, StatusTable::Status status)
{
    const bool alive = co_await self->answers(status);
    if (!alive)
        self->markLost(status);
}

ControlNode::Impl::Task
ControlNode::Impl::checkDataCentre(Self self, std::vector<StatusTable::Status> statuses)
{
    // A few that do not answer stand for all, so that a cut link costs few calls.
    const size_t sample = std::min(statuses.size(), SampleSize);
    bool reached = false;
    for (size_t i = 0; i < sample && !reached; ++i)
        reached = co_await self->answers(statuses[i * statuses.size() / sample]);
    for (auto &status : statuses) {
        const bool alive = reached && co_await self->answers(status);
        if (!alive)
            self->markLost(status);
    }
}

asio::awaitable<bool> ControlNode::Impl::answers(StatusTable::Status status)
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
