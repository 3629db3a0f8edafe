// Orders, reports and faults of the engine stand-in.
#include "FakeEngineImpl.h"

#include "FakeHttp.h"
#include "base/Hash.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray::fakes {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto SnapshotInterval = milliseconds(20);

std::string_view stateName(FakeItemState state)
{
    switch (state) {
    case FakeItemState::Loading:
        return "loading";
    case FakeItemState::Ready:
        return "ready";
    default:
        return "unloading";
    }
}

FakeOrder parseOrder(const std::string &text)
{
    const auto body = parseObject(text);
    FakeOrder order;
    order.id = textField(body, "order_id");
    order.fencingToken = static_cast<uint64_t>(numberField(body, "fencing", 0));
    order.action = textField(body, "action");
    order.key = {textField(body, "kind"), textField(body, "name"), textField(body, "version")};
    order.bytes = static_cast<uint64_t>(numberField(body, "bytes", 0));
    return order;
}

} // namespace

void FakeEngine::preload(const std::string &kind, const std::string &name,
                         const std::string &version, uint64_t bytes)
{
    FakeOrder order;
    order.id = toHex(newNonce());
    order.fencingToken = this->impl->memory.fencingToken();
    order.action = "load";
    order.key = {kind, name, version};
    order.bytes = bytes;
    this->impl->memory.apply(order);
    this->impl->memory.finishLoad(order.key, this->impl->memory.items().at(order.key).generation);
    this->impl->snapshots.clear();
    this->impl->takeSnapshot();
}

void FakeEngine::setFault(const json::object &fault)
{
    this->impl->setFault(fault);
}

asio::awaitable<void> FakeEngine::serveAdmin(HttpRequest request, HttpResponder &responder)
{
    const auto state = this->impl;
    if (pathOf(request.target) == "/fault") {
        state->setFault(parseObject(request.body));
        const json::object empty;
        co_await responder.respond(jsonResponse(200, empty));
        co_return;
    }
    json::object counts;
    uint64_t total = 0;
    for (const auto &[id, count] : state->executions) {
        counts[id] = count;
        total += static_cast<uint64_t>(count);
    }
    json::object body;
    body["executions"] = counts;
    body["total"] = total;
    body["overcommitted"] = state->memory.overcommitCount();
    body["peak_bytes"] = state->memory.peakBytes();
    co_await responder.respond(jsonResponse(200, body));
}

void FakeEngine::Impl::setFault(const json::object &fault)
{
    auto &active = this->faults;
    if (fault.contains("crash_text"))
        active.crashText = textField(fault, "crash_text");
    active.loseOrders = static_cast<int>(numberField(fault, "lose_orders", active.loseOrders));
    active.loseAnswers = static_cast<int>(numberField(fault, "lose_answers", active.loseAnswers));
    active.delayOrdersMs =
        static_cast<int>(numberField(fault, "delay_orders_ms", active.delayOrdersMs));
    active.lateOrdersMs =
        static_cast<int>(numberField(fault, "late_orders_ms", active.lateOrdersMs));
    active.unresponsive = boolField(fault, "silent", active.unresponsive);
    if (boolField(fault, "die", false))
        this->crash();
    if (boolField(fault, "revive", false) && active.dead) {
        active.dead = false;
        this->memory.restart();
        this->sequence = 0;
        this->snapshots.clear();
        this->takeSnapshot();
    }
}

void FakeEngine::Impl::crash()
{
    if (this->onCrash)
        this->onCrash();
    this->faults.dead = true;
    this->batch.cancelAll();
}

void FakeEngine::Impl::takeSnapshot()
{
    json::array items;
    for (const auto &[key, item] : this->memory.items()) {
        const auto &[kind, name, version] = key;
        items.push_back({{"kind", kind},
                         {"name", name},
                         {"version", version},
                         {"bytes", item.bytes},
                         {"state", stateName(item.state)}});
    }
    const uint64_t itemBytes = this->memory.itemBytes();
    const uint64_t memoryBytes = this->memory.capacityBytes();
    json::object report{{"sequence", ++this->sequence},
                        {"fencing", this->memory.fencingToken()},
                        {"memory_bytes", memoryBytes},
                        {"kv_bytes_used", this->memory.kvBytes()},
                        {"kv_bytes_limit", memoryBytes > itemBytes ? memoryBytes - itemBytes : 0},
                        {"running", this->batch.running()},
                        {"waiting", this->batch.waiting()},
                        {"role", this->role},
                        {"overcommitted", this->memory.overcommitCount()}};
    report["items"] = std::move(items);
    this->snapshots.emplace_back(std::chrono::steady_clock::now(), json::serialize(report));
}

asio::awaitable<void> FakeEngine::Impl::snapshotLoop()
{
    while (!this->stopped) {
        this->snapshotTimer.expires_after(SnapshotInterval);
        co_await this->snapshotTimer.async_wait(asio::as_tuple(asio::use_awaitable));
        this->takeSnapshot();
        const auto visible =
            std::chrono::steady_clock::now() - milliseconds(this->settings.report_lag_ms());
        while (this->snapshots.size() > 1 && this->snapshots[1].first <= visible)
            this->snapshots.pop_front();
    }
}

HttpResponse FakeEngine::Impl::reportResponse()
{
    return makeResponse(200, "application/json", this->snapshots.front().second);
}

asio::awaitable<void> FakeEngine::Impl::serveOrder(HttpRequest request, HttpResponder &responder)
{
    const FakeOrder order = parseOrder(request.body);
    if (this->settings.fencing_obeyed() && order.fencingToken < this->memory.fencingToken()) {
        co_await responder.respond(jsonError(409, "the fencing token is old"));
        co_return;
    }
    // Sequence number of the first report that can show the effect of the order.
    const json::object accepted{{"sequence", this->sequence + 1}};
    if (this->faults.loseOrders > 0) {
        --this->faults.loseOrders;
        co_await responder.respond(jsonResponse(202, accepted));
        co_return;
    }
    if (this->faults.delayOrdersMs > 0)
        co_await pauseFor(milliseconds(this->faults.delayOrdersMs));
    if (this->faults.lateOrdersMs > 0) {
        asio::co_spawn(this->context,
                       this->applyAfterDelay(order, milliseconds(this->faults.lateOrdersMs)),
                       [keep = this->shared_from_this()](std::exception_ptr) {});
    } else {
        this->applyOrder(order);
    }
    if (this->faults.loseAnswers > 0) {
        --this->faults.loseAnswers;
        responder.abort();
        co_return;
    }
    const json::object applied{{"sequence", this->sequence + 1}};
    co_await responder.respond(jsonResponse(202, applied));
}

asio::awaitable<void> FakeEngine::Impl::applyAfterDelay(FakeOrder order, Duration delay)
{
    co_await pauseFor(delay);
    if (!this->faults.dead)
        this->applyOrder(order);
}

void FakeEngine::Impl::applyOrder(const FakeOrder &order)
{
    const auto result = this->memory.apply(order);
    if (order.action == "role" && result == FakeOrderResult::NoEffect)
        this->role = std::get<1>(order.key);
    const auto keep = [self = this->shared_from_this()](std::exception_ptr) {};
    if (result == FakeOrderResult::LoadStarted) {
        const uint64_t generation = this->memory.items().at(order.key).generation;
        asio::co_spawn(this->context, this->loadItem(order.key, order.bytes, generation), keep);
    }
    if (result == FakeOrderResult::UnloadStarted) {
        const uint64_t generation = this->memory.items().at(order.key).generation;
        asio::co_spawn(this->context, this->unloadItem(order.key, generation), keep);
    }
}

asio::awaitable<void> FakeEngine::Impl::loadItem(FakeItemKey key, uint64_t bytes,
                                                 uint64_t generation)
{
    if (this->settings.store().empty()) {
        co_await pauseFor(milliseconds(this->settings.load_ms()));
        this->memory.finishLoad(key, generation);
        co_return;
    }
    const auto store = value(parseAddress(this->settings.store()));
    const auto &[kind, name, version] = key;
    const json::object body{{"name", name}, {"version", version}, {"bytes", bytes}, {"kind", kind}};
    while (!this->stopped && this->memory.items().contains(key)) {
        HttpRequest transfer;
        transfer.method = "POST";
        transfer.target = "/v1/transfers";
        transfer.headers = contentType("application/json");
        transfer.body = json::serialize(body);
        const auto result =
            co_await this->client.request(store, std::move(transfer), std::chrono::minutes(10));
        if (isOk(result) && value(result).status == 200) {
            this->memory.finishLoad(key, generation);
            co_return;
        }
        co_await pauseFor(milliseconds(200));
    }
}

asio::awaitable<void> FakeEngine::Impl::unloadItem(FakeItemKey key, uint64_t generation)
{
    co_await pauseFor(milliseconds(this->settings.unload_ms()));
    this->memory.finishUnload(key, generation);
}

} // namespace tray::fakes
