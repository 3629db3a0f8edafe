// Reports and orders of one engine.
#include "agent/EngineController.h"

#include "net/Pause.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

namespace tray {

namespace asio = boost::asio;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr auto FencePause = milliseconds(200);
// Weight of a new sample in a mean, as a divisor.
constexpr int MeanWeight = 4;

} // namespace

EngineController::EngineController(asio::io_context &context, EnginePort &port,
                                   const std::string &upstream, const std::string &pool,
                                   EngineTimes times, EngineHooks hooks, Metrics &metrics)
    : context(context), port(port), upstream(upstream), times(times), hooks(std::move(hooks)),
      metrics(metrics), reconciler(upstream, pool, this->memory), timer(context),
      lastHeard(std::chrono::steady_clock::now())
{}

void EngineController::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void EngineController::wake()
{
    if (this->mayLoad)
        this->timer.cancel();
}

asio::awaitable<void> EngineController::run()
{
    while (!this->stopped) {
        // A round that fails counts as a report that did not come.
        try {
            co_await this->readReport();
            if (this->stopped)
                co_return;
            this->decide();
            this->hooks.onChange();
        } catch (const std::exception &failure) {
            spdlog::error("event=engine_round_failed upstream={} error=\"{}\"", this->upstream,
                          failure.what());
            if (std::chrono::steady_clock::now() - this->lastHeard > this->times.lostAfter)
                this->markLost();
        }
        this->timer.expires_after(this->times.reportInterval);
        co_await this->timer.async_wait(Await);
    }
}

asio::awaitable<bool> EngineController::readReport()
{
    const uint64_t before = this->memory.lastSequence();
    const Instant asked = std::chrono::steady_clock::now();
    const auto result = co_await this->port.report(this->times.callTimeout);
    const Instant now = std::chrono::steady_clock::now();
    if (!isOk(result)) {
        const bool closed = error(result).kind == ErrorKind::UpstreamUnreachable;
        if (closed || now - this->lastHeard > this->times.lostAfter)
            this->markLost();
        co_return false;
    }
    // A report that was asked for before the engine was found dead tells nothing of it now.
    if (this->lost && asked <= this->lostSince)
        co_return false;
    // Two reads may cross; a report that was asked for before a newer one arrived tells nothing.
    const bool crossed = this->memory.lastSequence() != before;
    this->noteHeard(now);
    if (this->lost)
        spdlog::info("event=engine_found upstream={}", this->upstream);
    this->lost = false;
    if (crossed)
        co_return true;
    this->role = value(result).role;
    const auto effect = this->memory.applyReport(value(result));
    if (effect == MemoryLedger::ReportEffect::Restarted) {
        ++this->restartCount;
        spdlog::warn("event=engine_restarted upstream={}", this->upstream);
    }
    this->noteLoads(now);
    co_return true;
}

void EngineController::markLost()
{
    if (!this->lost)
        spdlog::warn("event=engine_lost upstream={}", this->upstream);
    this->lost = true;
    this->lostSince = std::chrono::steady_clock::now();
}

void EngineController::noteLoads(Instant now)
{
    std::erase_if(this->loadsSince, [&](const auto &pair) {
        const auto *entry = this->memory.find(pair.first);
        if (entry != nullptr && entry->phase == MemoryLedger::Phase::Ready) {
            auto &mean = this->meanLoad[pair.first.kind];
            mean += (now - pair.second - mean) / MeanWeight;
        }
        return entry == nullptr || entry->phase == MemoryLedger::Phase::Ready ||
               entry->phase == MemoryLedger::Phase::UnloadSent;
    });
}

void EngineController::decide()
{
    const Instant now = std::chrono::steady_clock::now();
    const auto specs = this->hooks.specs();
    const auto wish = this->hooks.wish();
    const auto statuses = this->hooks.statuses();
    const auto demand = this->hooks.demand();
    const auto inUse = this->hooks.inUse();
    ReconcileInput input{*specs, wish, statuses, demand, inUse};
    input.fencing = this->epoch;
    input.draining = this->draining;
    input.mayRepair = this->hooks.mayRepair();
    input.mayLoad = this->mayLoad && !this->lost;
    // Before the engine has accepted this agent's token, not even an unload may be sent.
    if (!this->mayLoad)
        return;
    this->decision = this->reconciler.decide(input, now);
    for (auto &order : this->decision.orders) {
        if (order.action == OrderAction::Load)
            this->loadsSince.try_emplace(order.key, now);
        this->metrics
            .counter("agent_orders_total", "action=\"" + std::string(enumName(order.action)) + "\"")
            .add();
        asio::co_spawn(this->context, this->sendOrder(order), asio::detached);
    }
}

asio::awaitable<void> EngineController::sendOrder(EngineOrder order)
{
    const auto mark = this->memory.noteSent(order.key);
    const auto result = co_await this->port.order(order, this->times.callTimeout);
    if (isOk(result)) {
        const bool restarted = this->memory.noteAccepted(
            order.key, order.action, value(result), this->fencingObeyed ? order.fencing : 0, mark);
        this->restartCount += restarted ? 1 : 0;
        co_return;
    }
    if (error(result).kind == ErrorKind::Stale)
        this->hooks.onStale();
}

void EngineController::takeOver(uint64_t token)
{
    this->epoch = token;
    asio::co_spawn(this->context, this->fence(token), asio::detached);
}

asio::awaitable<Result<uint64_t>> EngineController::sendRole(std::string id, uint64_t token)
{
    EngineOrder order;
    order.id = this->upstream + "-" + std::to_string(this->epoch) + "-" + id;
    order.fencing = token;
    order.action = OrderAction::Role;
    order.key.name = this->role;
    try {
        co_return co_await this->port.order(std::move(order), this->times.callTimeout);
    } catch (const std::exception &failure) {
        spdlog::error("event=engine_order_failed upstream={} error=\"{}\"", this->upstream,
                      failure.what());
        co_return Error{ErrorKind::UpstreamFailed, failure.what()};
    }
}

asio::awaitable<void> EngineController::fence(uint64_t token)
{
    // An order without effect brings the token to the engine, so that one which obeys tokens
    // refuses what an earlier agent sent and which has not arrived yet.
    auto accepted = co_await this->sendRole("fence", token);
    while (!this->stopped && !isOk(accepted)) {
        if (error(accepted).kind == ErrorKind::Stale) {
            this->hooks.onStale();
            co_return;
        }
        co_await pauseFor(FencePause);
        accepted = co_await this->sendRole("fence", token);
    }
    // The same order under an older token tells whether the engine obeys tokens.
    const auto older = co_await this->sendRole("probe", token - 1);
    this->fencingObeyed = !isOk(older) && error(older).kind == ErrorKind::Stale;
    // Only a report that was made after the token was accepted shows all that was ordered before.
    while (!this->stopped && this->memory.lastSequence() < value(accepted))
        co_await pauseFor(milliseconds(20));
    if (!this->fencingObeyed)
        co_await pauseFor(this->times.quarantine);
    this->mayLoad = true;
    spdlog::info("event=engine_taken_over upstream={} epoch={} obeys_fencing={}", this->upstream,
                 token, this->fencingObeyed);
    this->timer.cancel();
}

std::optional<ItemKey> EngineController::readyVersion(ItemKind kind, const std::string &name) const
{
    std::optional<ItemKey> found;
    const auto specs = this->hooks.specs();
    std::string wanted;
    if (kind == ItemKind::Model) {
        const auto spec = specs->models.find(name);
        wanted = spec == specs->models.end() ? "" : spec->second.version;
    } else {
        const auto spec = specs->adapters.find(name);
        wanted = spec == specs->adapters.end() ? "" : spec->second.version;
    }
    for (const auto &[key, entry] : this->memory.entries()) {
        if (key.kind != kind || key.name != name || entry.phase != MemoryLedger::Phase::Ready)
            continue;
        if (!found || key.version == wanted)
            found = key;
    }
    return found;
}

std::optional<Duration> EngineController::readyAfter(ItemKind kind, const std::string &name) const
{
    const auto specs = this->hooks.specs();
    const bool known =
        kind == ItemKind::Model ? specs->models.contains(name) : specs->adapters.contains(name);
    if (!known || this->lost || this->draining)
        return std::nullopt;
    if (this->readyVersion(kind, name))
        return Duration::zero();
    const auto &infeasible = this->decision.infeasible;
    const bool hasNoRoom = std::any_of(infeasible.begin(), infeasible.end(), [&](const auto &key) {
        return key.kind == kind && key.name == name;
    });
    if (hasNoRoom)
        return std::nullopt;
    return this->meanLoad.at(kind);
}

} // namespace tray
