// Loops of a node that call the platform: registration, and the relays' watches and list reads.
#include "node/ControlNodeImpl.h"

#include <boost/asio/redirect_error.hpp>
#include <spdlog/spdlog.h>

namespace tray {

namespace {

namespace asio = boost::asio;

constexpr auto ListReadInterval = std::chrono::seconds(1);
constexpr auto IdlePollInterval = milliseconds(250);
// Time after which a watch call ends without changes. A watch on a dead connection is detected
// after this time plus the timeout of the call.
constexpr auto WatchTimeout = std::chrono::seconds(2);
// Interval of complete rereads, which correct a watch that answers but misses changes.
constexpr auto RereadInterval = std::chrono::seconds(15);
constexpr auto InitialRetryBackoff = milliseconds(100);
constexpr auto MaxRetryBackoff = std::chrono::seconds(2);

} // namespace

ControlNode::Impl::Task ControlNode::Impl::registerLoop(Self self)
{
    Backoff backoff(InitialRetryBackoff, MaxRetryBackoff);
    while (!self->stopping && !self->registered) {
        proto::InstanceEntry entry;
        {
            const std::lock_guard lock(self->mutex);
            entry = self->entry;
        }
        const auto added = co_await self->source.add(entry);
        if (isOk(added)) {
            self->registered = true;
            spdlog::info("event=registered instance={}", entry.id());
            break;
        }
        co_await self->sleepFor(backoff.next(self->random()));
    }
    // Every process reads the list once, to find its parents; after that, only relays read it.
    while (!self->stopping) {
        const bool known = co_await self->readInstances();
        if (known)
            break;
        co_await self->sleepFor(backoff.next(self->random()));
    }
    self->wake();
}

asio::awaitable<bool> ControlNode::Impl::readInstances()
{
    const auto startedAt = this->now();
    const auto list = co_await this->source.read();
    if (!isOk(list))
        co_return false;
    const std::lock_guard lock(this->mutex);
    this->state.setInstances(value(list));
    this->state.notePlatformContact(startedAt);
    co_return true;
}

ControlNode::Impl::Task ControlNode::Impl::instanceLoop(Self self)
{
    Backoff backoff(InitialRetryBackoff, MaxRetryBackoff);
    while (!self->stopping) {
        if (!self->relaying) {
            co_await self->sleepFor(IdlePollInterval);
            continue;
        }
        if (co_await self->readInstances()) {
            backoff.reset();
            co_await self->sleepFor(ListReadInterval);
        } else {
            co_await self->sleepFor(backoff.next(self->random()));
        }
    }
}

ControlNode::Impl::Task ControlNode::Impl::watchLoop(Self self, std::string prefix)
{
    Backoff backoff(InitialRetryBackoff, MaxRetryBackoff);
    uint64_t revision = 0;
    Instant rereadAt{};
    while (!self->stopping) {
        if (!self->relaying) {
            revision = 0;
            co_await self->sleepFor(IdlePollInterval);
            continue;
        }
        if (co_await self->watchRound(prefix, revision, rereadAt)) {
            backoff.reset();
        } else {
            revision = 0;
            co_await self->sleepFor(backoff.next(self->random()));
        }
    }
}

asio::awaitable<bool> ControlNode::Impl::watchRound(const std::string &prefix, uint64_t &revision,
                                                    Instant &rereadAt)
{
    const bool reread = revision == 0 || this->now() >= rereadAt;
    const auto startedAt = this->now();
    Result<ObjectChanges> changes;
    if (reread)
        changes = co_await this->api.list(prefix);
    else
        changes = co_await this->api.watch(prefix, revision, WatchTimeout);
    if (!isOk(changes))
        co_return false;
    {
        const std::lock_guard lock(this->mutex);
        this->state.notePlatformContact(startedAt);
    }
    if (reread || !value(changes).changes.empty())
        rereadAt = this->now() + RereadInterval;
    for (const auto &change : value(changes).changes) {
        if (change.deleted)
            continue;
        const bool done = co_await this->readObject(change.key);
        if (!done)
            co_return false;
    }
    // A store without any write has revision 0; it is listed again.
    revision = value(changes).revision;
    if (revision == 0)
        co_await this->sleepFor(IdlePollInterval);
    co_return true;
}

asio::awaitable<bool> ControlNode::Impl::readObject(std::string key)
{
    static constexpr std::string_view PlacementPrefix = "placement/";
    if (key == HeadKey)
        co_return co_await this->readHead();
    if (!key.starts_with(PlacementPrefix))
        co_return true;
    const auto object = co_await this->api.read(key);
    if (!isOk(object))
        co_return error(object).kind == ErrorKind::NotFound;
    proto::Wish placement;
    if (!placement.ParseFromString(value(object).value))
        co_return true;
    // Placement requests are ordered by the object's version, whatever version the writer set.
    placement.set_version(value(object).version);
    placement.set_region(key.substr(PlacementPrefix.size()));
    const std::lock_guard lock(this->mutex);
    this->state.setRequestedPlacement(placement);
    co_return true;
}

asio::awaitable<bool> ControlNode::Impl::readHead()
{
    const auto object = co_await this->api.read(std::string(HeadKey));
    if (!isOk(object))
        co_return error(object).kind == ErrorKind::NotFound;
    proto::Head head;
    if (!head.ParseFromString(value(object).value))
        co_return false;
    uint64_t headBefore = 0;
    {
        const std::lock_guard lock(this->mutex);
        headBefore = this->state.headVersion();
        this->state.offerHead(head);
    }
    co_await this->fetchSectionsFromPlatform();
    this->logHeadChange(headBefore);
    const std::lock_guard lock(this->mutex);
    co_return this->state.missingDigests().empty();
}

ControlNode::Impl::Task ControlNode::Impl::fetchSectionsFromPlatform()
{
    std::vector<uint64_t> missing;
    {
        const std::lock_guard lock(this->mutex);
        missing = this->state.missingDigests();
    }
    for (const uint64_t digest : missing) {
        const auto object = co_await this->api.read(sectionKey(digest));
        if (!isOk(object))
            co_return;
        std::vector<std::string> sections;
        sections.push_back(value(object).value);
        const std::lock_guard lock(this->mutex);
        this->state.addSections(sections);
    }
}

} // namespace tray
