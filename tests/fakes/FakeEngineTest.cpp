// The engine, store and service stand-ins implement the documented protocols, including the faults
// that other tests rely on: a stand-in that deviates would hide errors of the processes that are
// tested against it.
#include "FakeEngine.h"
#include "FakeHttp.h"
#include "FakeService.h"
#include "FakeStore.h"
#include "config/SettingsReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace tray;
using namespace tray::fakes;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

const Address AnyPort{"127.0.0.1", 0};
constexpr auto CallTimeout = std::chrono::seconds(5);

/// Engine stand-in with short step times, and a client that calls it.
struct EngineFixture
{
    EngineFixture()
    {
        proto::FakeEngineSettings settings;
        applyDefaults(settings);
        auto &engineSettings = *settings.mutable_engine();
        engineSettings.set_step_us(500);
        engineSettings.set_step_us_per_request(10);
        engineSettings.set_report_lag_ms(0);
        engineSettings.set_kv_bytes_per_token(1);
        engineSettings.set_memory_bytes(1000);
        this->engine = std::make_unique<FakeEngine>(this->context, engineSettings);
        this->address = value(this->engine->listen(AnyPort));
        this->engine->preload("model", "m", "1", 600);
    }

    asio::awaitable<Result<HttpResponse>> call(std::string method, std::string target,
                                               std::string body, std::string id = "r1")
    {
        HttpRequest request{std::move(method), std::move(target), {}, std::move(body)};
        request.headers.emplace_back("X-Request-Id", id);
        return this->client.request(this->address, std::move(request), CallTimeout);
    }

    void run(asio::awaitable<void> task)
    {
        std::exception_ptr thrown;
        asio::co_spawn(this->context, std::move(task), [&](std::exception_ptr failure) {
            thrown = failure;
            this->context.stop();
        });
        this->context.run_for(std::chrono::seconds(20));
        if (thrown)
            std::rethrow_exception(thrown);
    }

    asio::io_context context{1};
    std::unique_ptr<FakeEngine> engine;
    HttpClient client{context};
    Address address;
};

std::string chatBody(const std::string &prompt, bool stream, int tokens)
{
    const json::object message{{"role", "user"}, {"content", prompt}};
    json::object body{{"model", "m"}, {"stream", stream}, {"max_tokens", tokens}};
    body["messages"] = json::array{message};
    return json::serialize(body);
}

std::string orderBody(const std::string &id, const std::string &action, const std::string &name,
                      int bytes, int fencing = 5)
{
    const json::object body{{"order_id", id},  {"fencing", fencing}, {"action", action},
                            {"kind", "model"}, {"name", name},       {"version", "1"},
                            {"bytes", bytes}};
    return json::serialize(body);
}

} // namespace

TEST_CASE("The engine stand-in serves completions")
{
    EngineFixture fixture;
    SUBCASE("a complete response contains the caller's prompt, usage and finish reason")
    {
        fixture.run([&]() -> asio::awaitable<void> {
            const auto answer = co_await fixture.call("POST", "/v1/chat/completions",
                                                      chatBody("pair two EL34", false, 4));
            REQUIRE(isOk(answer));
            CHECK(value(answer).status == 200);
            CHECK(value(answer).body.find("[pair two EL34] t1 t2 t3 ") != std::string::npos);
            CHECK(value(answer).body.find("\"completion_tokens\":4") != std::string::npos);
            CHECK(value(answer).body.find("\"finish_reason\":\"length\"") != std::string::npos);
        }());
        CHECK(fixture.engine->executions().at("r1") == 1);
    }
    SUBCASE("a stream has numbered events, ends with [DONE] and can be resumed after an event")
    {
        fixture.run([&]() -> asio::awaitable<void> {
            const auto answer =
                co_await fixture.call("POST", "/v1/chat/completions", chatBody("hello", true, 3));
            REQUIRE(isOk(answer));
            const std::string &body = value(answer).body;
            CHECK(body.find("id: 1\n") == 0);
            CHECK(body.ends_with("data: [DONE]\n\n"));
            const auto rest = co_await fixture.call("GET", "/v1/streams/r1?after=2", "");
            REQUIRE(isOk(rest));
            CHECK(value(rest).body == body.substr(body.find("id: 3\n")));
        }());
        CHECK(fixture.engine->executions().at("r1") == 1);
    }
    SUBCASE("a model that is not ready is refused and not executed")
    {
        fixture.run([&]() -> asio::awaitable<void> {
            const auto answer = co_await fixture.call("POST", "/v1/completions",
                                                      R"({"model":"other","prompt":"x"})");
            REQUIRE(isOk(answer));
            CHECK(value(answer).status == 404);
        }());
        CHECK(fixture.engine->executions().empty());
    }
    SUBCASE("a request with the crash text crashes the engine after it was counted")
    {
        const json::object fault{{"crash_text", "boom"}};
        fixture.engine->setFault(fault);
        fixture.run([&]() -> asio::awaitable<void> {
            const auto answer =
                co_await fixture.call("POST", "/v1/chat/completions", chatBody("boom", false, 4));
            CHECK(!isOk(answer));
            const auto report = co_await fixture.call("GET", "/engine/report", "");
            CHECK(!isOk(report));
        }());
        CHECK(fixture.engine->executions().at("r1") == 1);
    }
}

TEST_CASE("The engine stand-in counts overcommitment instead of preventing it")
{
    EngineFixture fixture;
    fixture.run([&]() -> asio::awaitable<void> {
        const auto load = [&](std::string id, std::string name, int bytes) {
            return fixture.call("POST", "/engine/orders", orderBody(id, "load", name, bytes));
        };
        CHECK(value(co_await load("a", "fits", 300)).status == 202);
        CHECK(fixture.engine->memory().overcommitCount() == 0);
        // A second order with the same id has no effect.
        CHECK(value(co_await load("a", "other", 300)).status == 202);
        CHECK(fixture.engine->memory().overcommitCount() == 0);
        CHECK(value(co_await load("b", "exceeds", 300)).status == 202);
        CHECK(fixture.engine->memory().overcommitCount() == 1);
        const auto old = co_await fixture.call("POST", "/engine/orders",
                                               orderBody("c", "unload", "fits", 300, 4));
        CHECK(value(old).status == 409);
    }());
}

TEST_CASE("The store stand-in limits its transfer rate and refuses transfers during an outage")
{
    asio::io_context context(1);
    proto::FakeStoreSettings settings;
    applyDefaults(settings);
    settings.mutable_store()->set_loads_per_second(1000);
    settings.mutable_store()->set_bytes_per_second(1000);
    FakeStore store(context, settings.store());
    const Address address = value(store.listen(AnyPort));
    HttpClient client(context);
    const auto transfer = [&](std::string kind) {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/transfers";
        request.body = R"({"name":"x","version":"1","bytes":50,"kind":")" + kind + "\"}";
        return client.request(address, std::move(request), CallTimeout);
    };
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto begin = std::chrono::steady_clock::now();
            CHECK(value(co_await transfer("model")).status == 200);
            CHECK(std::chrono::steady_clock::now() - begin >= milliseconds(45));
            CHECK(value(co_await transfer("adapter")).status == 200);
            const json::object fault{{"outage", true}};
            store.setFault(fault);
            CHECK(value(co_await transfer("model")).status == 503);
            context.stop();
        },
        asio::detached);
    context.run_for(std::chrono::seconds(20));
    CHECK(store.modelLoads() == 1);
    CHECK(store.adapterLoads() == 1);
}

TEST_CASE("The service stand-in echoes and counts executions by id and key")
{
    asio::io_context context(1);
    proto::FakeServiceSettings settings;
    applyDefaults(settings);
    FakeService service(context, settings.service());
    const Address address = value(service.listen(AnyPort));
    HttpClient client(context);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            request.method = "POST";
            request.target = "/reserve";
            request.body = "boat 7";
            request.headers.emplace_back("X-Request-Id", "r1");
            request.headers.emplace_back("Idempotency-Key", "k1");
            const auto answer = co_await client.request(address, request, CallTimeout);
            CHECK(value(answer).body.find("boat 7") != std::string::npos);
            co_await client.request(address, request, CallTimeout);
            context.stop();
        },
        asio::detached);
    context.run_for(std::chrono::seconds(20));
    CHECK(service.executions().at("r1") == 2);
    CHECK(service.executionsByKey().at("k1") == 2);
}
