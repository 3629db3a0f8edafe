// Coroutines and timer that drive the state machine of a claim shard.
#include "node/ClaimShardRunner.h"

#include "base/Hash.h"
#include "edge/ObjectApi.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

namespace tray {

namespace asio = boost::asio;

namespace {

/// Makes the result of a call that threw an exception. The shard waits for the result of each call
/// that it has begun, and all claims of the shard wait with it.
Error exceptionResult(const char *call, ErrorKind kind, const std::exception &failure)
{
    spdlog::error("event=claim_call_failed call={} error={:?}", call, failure.what());
    return {kind, failure.what()};
}

} // namespace

ClaimShardRunner::ClaimShardRunner(asio::io_context &context, ObjectApi &objects, uint32_t shard,
                                   std::string owner, ClaimShardSettings settings, Metrics &metrics)
    : objects(objects), number(shard), owner(std::move(owner)), settings(settings),
      strand(asio::make_strand(context)), timer(strand),
      writes(metrics.counter("tray_claim_writes_total")),
      failedWrites(metrics.counter("tray_claim_failed_writes_total")),
      writeLatency(metrics.histogram("tray_claim_write_ms")), metrics(metrics), shard(makeShard())
{}

std::unique_ptr<ClaimShard> ClaimShardRunner::makeShard() const
{
    return std::make_unique<ClaimShard>(this->number, this->owner, this->settings, newNonce);
}

void ClaimShardRunner::handle(proto::ControlRequest request, Reply reply)
{
    asio::post(this->strand, [self = this->shared_from_this(), request = std::move(request),
                              reply = std::move(reply)]() mutable {
        const uint64_t waiter = ++self->lastWaiter;
        self->waiters.emplace(waiter, std::move(reply));
        self->run(request, waiter);
    });
}

void ClaimShardRunner::run(const proto::ControlRequest &request, uint64_t waiter)
{
    this->dispatch([&](ClaimShard &target, Instant now, WallMs wall) {
        if (request.has_claim_begin())
            target.begin(request.claim_begin(), waiter, now, wall);
        else if (request.has_claim_finish())
            target.finish(request.claim_finish(), waiter, now, wall);
        else if (request.has_claim_release())
            target.release(request.claim_release(), waiter, now, wall);
        else
            this->answer(waiter, {});
    });
}

void ClaimShardRunner::unload()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        if (self->shard->isIdle() && self->shard->recordCount() > 0)
            self->shard = self->makeShard();
    });
}

void ClaimShardRunner::stop()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->stopped = true;
        self->timer.cancel();
    });
}

void ClaimShardRunner::dispatch(const Event &event)
{
    event(*this->shard, std::chrono::steady_clock::now(), wallNow());
    for (ClaimAction &action : this->shard->takeActions())
        this->perform(std::move(action));
    this->armTimer();
}

void ClaimShardRunner::perform(ClaimAction action)
{
    switch (action.kind) {
    case ClaimAction::Kind::Reply:
        this->answer(action.id, std::move(action.reply));
        break;
    case ClaimAction::Kind::Read:
        asio::co_spawn(this->strand, this->read(action.id, std::move(action.key)), asio::detached);
        break;
    case ClaimAction::Kind::Write:
        asio::co_spawn(this->strand, this->write(std::move(action)), asio::detached);
        break;
    case ClaimAction::Kind::Remove:
        asio::co_spawn(this->strand, this->remove(std::move(action.key), action.expectedVersion),
                       asio::detached);
        break;
    }
}

void ClaimShardRunner::answer(uint64_t waiter, proto::ClaimReply reply)
{
    const auto found = this->waiters.find(waiter);
    if (found == this->waiters.end())
        return;
    const Reply send = std::move(found->second);
    this->waiters.erase(found);
    this->metrics
        .counter("tray_claim_verdicts_total",
                 "verdict=\"" + proto::ClaimVerdict_Name(reply.verdict()) + "\"")
        .add();
    send(std::move(reply));
}

asio::awaitable<void> ClaimShardRunner::read(uint64_t call, std::string key)
{
    const auto self = this->shared_from_this();
    Result<ObjectValue> object;
    try {
        object = co_await this->objects.read(std::move(key));
    } catch (const std::exception &failure) {
        object = exceptionResult("read", ErrorKind::PlatformUnavailable, failure);
    }
    ClaimShard::ReadResult result = Error{};
    if (isOk(object))
        result = std::make_pair(std::move(value(object).value), value(object).version);
    else
        result = error(object);
    this->dispatch([&](ClaimShard &target, Instant now, WallMs wall) {
        target.onRead(call, result, now, wall);
    });
}

asio::awaitable<void> ClaimShardRunner::write(ClaimAction action)
{
    const auto self = this->shared_from_this();
    const Instant startedAt = std::chrono::steady_clock::now();
    this->writes.add();
    Result<uint64_t> result;
    try {
        result = co_await this->objects.write(std::move(action.key), std::move(action.value),
                                              action.expectedVersion);
    } catch (const std::exception &failure) {
        // The write may have taken effect.
        result = exceptionResult("write", ErrorKind::OutcomeUnknown, failure);
    }
    if (isOk(result))
        this->writeLatency.add(std::chrono::steady_clock::now() - startedAt);
    else
        this->failedWrites.add();
    this->dispatch([&](ClaimShard &target, Instant now, WallMs wall) {
        target.onWritten(action.id, result, now, wall);
    });
}

// A period that is not removed costs only its storage, so failed calls are not retried.
asio::awaitable<void> ClaimShardRunner::remove(std::string key, uint64_t version)
{
    const auto self = this->shared_from_this();
    if (version == 0) {
        const Result<ObjectValue> object = co_await this->objects.read(key);
        if (!isOk(object))
            co_return;
        version = value(object).version;
    }
    this->writes.add();
    const Result<Unit> result = co_await this->objects.remove(std::move(key), version);
    if (!isOk(result))
        this->failedWrites.add();
}

void ClaimShardRunner::armTimer()
{
    const auto dueAt = this->shard->nextTimer();
    this->timer.cancel();
    if (!dueAt || this->stopped)
        return;
    this->timer.expires_at(*dueAt);
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code code) {
        if (code)
            return;
        self->dispatch(
            [](ClaimShard &target, Instant now, WallMs wall) { target.onTimer(now, wall); });
    });
}

} // namespace tray
