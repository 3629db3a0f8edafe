// Serves transfers and computes their times from the rate limit, the concurrent load and the
// faults.
#include "FakeStore.h"

#include "FakeHttp.h"
#include "base/Hash.h"

#include <algorithm>

namespace tray::fakes {

namespace asio = boost::asio;
namespace json = boost::json;

struct FakeStore::Impl
{
    explicit Impl(const proto::FakeStoreSection &settings) : settings(settings) {}

    asio::awaitable<void> serve(HttpRequest request, HttpResponder &responder);
    /// Simulates the transfer; returns whether it completed. An outage or stop() makes it fail.
    asio::awaitable<bool> transferModel(double bytes);
    asio::awaitable<bool> transferAdapter(const std::string &name);

    const proto::FakeStoreSection settings;
    std::unique_ptr<HttpServer> server;
    bool outage = false;
    double slowdown = 1;
    bool stopped = false;
    uint32_t modelsInTransit = 0;
    uint32_t adaptersInTransit = 0;
    uint64_t modelLoads = 0;
    uint64_t adapterLoads = 0;
    uint64_t refused = 0;
    // Earliest start of the next model load under the rate limit.
    Instant nextLoadStart;
};

FakeStore::FakeStore(asio::io_context &context, const proto::FakeStoreSection &settings)
    : impl(std::make_shared<Impl>(settings))
{
    this->impl->server = std::make_unique<HttpServer>(
        context, [state = this->impl.get()](HttpRequest request, HttpResponder &responder) {
            return state->serve(std::move(request), responder);
        });
}

FakeStore::~FakeStore()
{
    this->stop();
}

Result<Address> FakeStore::listen(const Address &address)
{
    return this->impl->server->listen(address);
}

void FakeStore::stop()
{
    this->impl->stopped = true;
    this->impl->server->drain();
}

uint64_t FakeStore::modelLoads() const
{
    return this->impl->modelLoads;
}

uint64_t FakeStore::adapterLoads() const
{
    return this->impl->adapterLoads;
}

void FakeStore::setFault(const json::object &fault)
{
    this->impl->outage = boolField(fault, "outage", this->impl->outage);
    this->impl->slowdown = std::max(0.001, numberField(fault, "slowdown", this->impl->slowdown));
}

asio::awaitable<void> FakeStore::serveAdmin(HttpRequest request, HttpResponder &responder)
{
    if (pathOf(request.target) == "/fault")
        this->setFault(parseObject(request.body));
    json::object body;
    body["model_loads"] = this->impl->modelLoads;
    body["adapter_loads"] = this->impl->adapterLoads;
    body["refused"] = this->impl->refused;
    body["models_in_transit"] = this->impl->modelsInTransit;
    body["adapters_in_transit"] = this->impl->adaptersInTransit;
    co_await responder.respond(jsonResponse(200, body));
}

asio::awaitable<void> FakeStore::Impl::serve(HttpRequest request, HttpResponder &responder)
{
    const auto body = parseObject(request.body);
    const std::string name = textField(body, "name");
    if (request.method != "POST" || pathOf(request.target) != "/v1/transfers" || name.empty()) {
        co_await responder.respond(jsonError(400, "expected a transfer"));
        co_return;
    }
    bool isComplete = !this->outage;
    if (isComplete && textField(body, "kind") == "adapter")
        isComplete = co_await this->transferAdapter(name);
    else if (isComplete)
        isComplete = co_await this->transferModel(numberField(body, "bytes", 0));
    if (!isComplete) {
        ++this->refused;
        co_await responder.respond(jsonError(503, "the store is down"));
        co_return;
    }
    const json::object empty;
    co_await responder.respond(jsonResponse(200, empty));
}

asio::awaitable<bool> FakeStore::Impl::transferModel(double bytes)
{
    const Instant now = std::chrono::steady_clock::now();
    const auto spacing = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / this->settings.loads_per_second()));
    const Instant start = std::max(now, this->nextLoadStart);
    this->nextLoadStart = start + spacing;
    if (start > now)
        co_await pauseFor(start - now);
    ++this->modelsInTransit;
    // The remaining transfer time at full speed is reduced in slices, so that the speed follows the
    // number of concurrent transfers.
    constexpr auto MaxSlice = milliseconds(10);
    double remainingSeconds = bytes / this->settings.bytes_per_second();
    while (remainingSeconds > 0 && !this->outage && !this->stopped) {
        const double fullSpeedLoads = this->settings.full_speed_loads();
        const double speed = std::min(1.0, fullSpeedLoads / this->modelsInTransit) / this->slowdown;
        const double slice = std::min(0.010, remainingSeconds / speed);
        co_await pauseFor(std::min<Duration>(
            MaxSlice, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(slice))));
        remainingSeconds -= slice * speed;
    }
    --this->modelsInTransit;
    const bool isComplete = !this->outage && !this->stopped;
    this->modelLoads += isComplete ? 1 : 0;
    co_return isComplete;
}

asio::awaitable<bool> FakeStore::Impl::transferAdapter(const std::string &name)
{
    ++this->adaptersInTransit;
    const auto minMs = this->settings.adapter_min_ms();
    const auto maxMs = std::max(minMs, this->settings.adapter_max_ms());
    // The transfer time is derived from the adapter's name, so that runs are reproducible.
    const double baseMs = minMs + static_cast<double>(hash64(name) % (maxMs - minMs + 1));
    const double congestion = std::max(1.0, static_cast<double>(this->adaptersInTransit) /
                                                this->settings.transit_limit());
    co_await pauseFor(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(baseMs * congestion * this->slowdown)));
    --this->adaptersInTransit;
    const bool isComplete = !this->outage && !this->stopped;
    this->adapterLoads += isComplete ? 1 : 0;
    co_return isComplete;
}

} // namespace tray::fakes
