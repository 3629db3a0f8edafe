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
constexpr auto FenceRetryDelay = milliseconds(200);
// Divisor of a new sample's weight in a moving average.
constexpr int MeanSampleDivisor = 4;

} // namespace

EngineController::EngineController(asio::io_context &context, EnginePort &port,
                                   const std::string &upstream, const std::string &pool,
                                   EngineTimes times, EngineHooks hooks, Metrics &metrics)
    : context(context), port(port), upstream(upstream), times(times), hooks(std::move(hooks)),
      metrics(metrics), reconciler(upstream, pool, this->memoryLedger), timer(context),
      lastContactAt(std::chrono::steady_clock::now())
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
        // A round that fails counts as a missing report.
        try {
            co_await this->readReport();
            if (this->stopped)
                co_return;
            this->decide();
            this->hooks.onChange();
        } catch (const std::exception &failure) {
            spdlog::error("event=engine_round_failed upstream={} error={:?}", this->upstream,
                          failure.what());
            if (std::chrono::steady_clock::now() - this->lastContactAt > this->times.lostTimeout)
                this->markLost();
        }
        this->timer.expires_after(this->times.reportInterval);
        co_await this->timer.async_wait(Await);
    }
}

asio::awaitable<bool> EngineController::readReport()
{
    const uint64_t before = this->memoryLedger.lastSequence();
    const Instant requestedAt = std::chrono::steady_clock::now();
    const auto result = co_await this->port.fetchStatus(this->times.callTimeout);
    const Instant now = std::chrono::steady_clock::now();
    if (!isOk(result)) {
        const bool closed = error(result).kind == ErrorKind::UpstreamUnreachable;
        if (closed || now - this->lastContactAt > this->times.lostTimeout)
            this->markLost();
        co_return false;
    }
    // A report that was requested before the engine was marked as lost does not show its current
    // state.
    if (this->lost && requestedAt <= this->lostAt)
        co_return false;
    // Two reads may overlap; a report that was requested before a newer one arrived is not used.
    const bool overlapped = this->memoryLedger.lastSequence() != before;
    this->noteContact(now);
    if (this->lost)
        spdlog::info("event=engine_found upstream={}", this->upstream);
    this->lost = false;
    if (overlapped)
        co_return true;
    this->role = value(result).role;
    const auto effect = this->memoryLedger.applyReport(value(result));
    if (effect == MemoryLedger::ReportEffect::Restarted) {
        ++this->restartCount;
        spdlog::warn("event=engine_restarted upstream={}", this->upstream);
    }
    this->updateLoadTimes(now);
    co_return true;
}

void EngineController::markLost()
{
    if (!this->lost)
        spdlog::warn("event=engine_lost upstream={}", this->upstream);
    this->lost = true;
    this->lostAt = std::chrono::steady_clock::now();
}

void EngineController::updateLoadTimes(Instant now)
{
    std::erase_if(this->loadStartedAt, [&](const auto &pair) {
        const auto *entry = this->memoryLedger.find(pair.first);
        if (entry != nullptr && entry->phase == MemoryLedger::Phase::Ready) {
            auto &mean = this->meanLoadTime[pair.first.kind];
            mean += (now - pair.second - mean) / MeanSampleDivisor;
        }
        return entry == nullptr || entry->phase == MemoryLedger::Phase::Ready ||
               entry->phase == MemoryLedger::Phase::UnloadSent;
    });
}

void EngineController::decide()
{
    const Instant now = std::chrono::steady_clock::now();
    const auto requirements = this->hooks.requirements();
    const auto requested = this->hooks.requestedItems();
    const auto statuses = this->hooks.statuses();
    const auto demand = this->hooks.demand();
    const auto inUse = this->hooks.inUse();
    ReconcileInput input{*requirements, requested, statuses, demand, inUse};
    input.fencing = this->epoch;
    input.draining = this->draining;
    input.mayRepair = this->hooks.mayRepair();
    input.mayLoad = this->mayLoad && !this->lost;
    // Until the engine has accepted this agent's fencing token, not even an unload may be sent.
    if (!this->mayLoad)
        return;
    this->decision = this->reconciler.decide(input, now);
    for (auto &command : this->decision.commands) {
        if (command.action == CommandAction::Load)
            this->loadStartedAt.try_emplace(command.key, now);
        this->metrics
            .counter("agent_orders_total",
                     "action=\"" + std::string(enumName(command.action)) + "\"")
            .add();
        asio::co_spawn(this->context, this->sendCommand(command), asio::detached);
    }
}

asio::awaitable<void> EngineController::sendCommand(EngineCommand command)
{
    const auto snapshot = this->memoryLedger.noteSent(command.key);
    const auto result = co_await this->port.sendCommand(command, this->times.callTimeout);
    if (isOk(result)) {
        const bool restarted =
            this->memoryLedger.noteAccepted(command.key, command.action, value(result),
                                            this->fencingObeyed ? command.fencing : 0, snapshot);
        this->restartCount += restarted ? 1 : 0;
        co_return;
    }
    if (error(result).kind == ErrorKind::Stale)
        this->hooks.onSuperseded();
}

void EngineController::acquireControl(uint64_t token)
{
    this->epoch = token;
    asio::co_spawn(this->context, this->fence(token), asio::detached);
}

asio::awaitable<Result<uint64_t>> EngineController::sendRole(std::string id, uint64_t token)
{
    EngineCommand command;
    command.id = this->upstream + "-" + std::to_string(this->epoch) + "-" + id;
    command.fencing = token;
    command.action = CommandAction::Role;
    command.key.name = this->role;
    try {
        co_return co_await this->port.sendCommand(std::move(command), this->times.callTimeout);
    } catch (const std::exception &failure) {
        spdlog::error("event=engine_order_failed upstream={} error={:?}", this->upstream,
                      failure.what());
        co_return Error{ErrorKind::UpstreamFailed, failure.what()};
    }
}

asio::awaitable<void> EngineController::fence(uint64_t token)
{
    // A command without effect passes the token to the engine. An engine that obeys tokens then
    // refuses commands of an earlier agent that have not arrived yet.
    auto accepted = co_await this->sendRole("fence", token);
    while (!this->stopped && !isOk(accepted)) {
        if (error(accepted).kind == ErrorKind::Stale) {
            this->hooks.onSuperseded();
            co_return;
        }
        co_await pauseFor(FenceRetryDelay);
        accepted = co_await this->sendRole("fence", token);
    }
    // The same command with an older token shows whether the engine obeys tokens.
    const auto staleResult = co_await this->sendRole("probe", token - 1);
    this->fencingObeyed = !isOk(staleResult) && error(staleResult).kind == ErrorKind::Stale;
    // Only a report that was made after the token was accepted shows the effects of all earlier
    // commands.
    while (!this->stopped && this->memoryLedger.lastSequence() < value(accepted))
        co_await pauseFor(milliseconds(20));
    if (!this->fencingObeyed)
        co_await pauseFor(this->times.quarantine);
    this->mayLoad = true;
    spdlog::info("event=engine_taken_over upstream={} epoch={} obeys_fencing={}", this->upstream,
                 token, this->fencingObeyed);
    this->timer.cancel();
}

std::optional<ItemKey> EngineController::findReadyItem(ItemKind kind, const std::string &name) const
{
    std::optional<ItemKey> found;
    const auto requirements = this->hooks.requirements();
    std::string wanted;
    if (kind == ItemKind::Model) {
        const auto model = requirements->models.find(name);
        wanted = model == requirements->models.end() ? "" : model->second.version;
    } else {
        const auto adapter = requirements->adapters.find(name);
        wanted = adapter == requirements->adapters.end() ? "" : adapter->second.version;
    }
    for (const auto &[key, entry] : this->memoryLedger.entries()) {
        if (key.kind != kind || key.name != name || entry.phase != MemoryLedger::Phase::Ready)
            continue;
        if (!found || key.version == wanted)
            found = key;
    }
    return found;
}

std::optional<Duration> EngineController::timeUntilReady(ItemKind kind,
                                                         const std::string &name) const
{
    const auto requirements = this->hooks.requirements();
    const bool known = kind == ItemKind::Model ? requirements->models.contains(name)
                                               : requirements->adapters.contains(name);
    if (!known || this->lost || this->draining)
        return std::nullopt;
    if (this->findReadyItem(kind, name))
        return Duration::zero();
    const auto &infeasible = this->decision.infeasible;
    const bool hasNoRoom = std::any_of(infeasible.begin(), infeasible.end(), [&](const auto &key) {
        return key.kind == kind && key.name == name;
    });
    if (hasNoRoom)
        return std::nullopt;
    return this->meanLoadTime.at(kind);
}

} // namespace tray
