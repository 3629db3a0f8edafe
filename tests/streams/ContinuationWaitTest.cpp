// A stream that was broken off and waits for an engine of its software version: when the wait
// begins, what ends it, and what it never exceeds.
#include "GatewayFixture.h"

#include <algorithm>

using namespace tray;
using namespace tray::test;

namespace {

// The route's goal lets callers wait for longer than any continuation does.
constexpr auto EngineConfig = R"({"version":2,"routes":[
 {"name":"write","host":"a.example","path_prefix":"/write/","kind":"streaming","timeout_ms":15000,
  "goal_ms":5000,"max_attempts":1,"resumable":true,"service":"llm"}],
 "services":[{"name":"llm","max_conns":50,"engine":{"slots":64,"kv_cache_tokens":100000,
  "models":[{"name":"m1","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12},
            {"name":"m2","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12}],
  "weights_mb":220000,"adapter_slots":8,"loads_per_s":1}}],
 "limits":{"header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,
  "idle_timeout_ms":5000}})";

/// Engines of two software versions. The stream "r1" of model m1 has begun at "e-1" of v1 and was
/// broken off, and e-1 lost the model; "e-2" of v2 holds it.
class ContinuationFixture
{
public:
    ContinuationFixture()
        : gateway({}, {}, StopGrace),
          engine(gateway.context,
                 [this](const HttpRequest &request) { return this->reply(request); }),
          other(gateway.context,
                [](const HttpRequest &request) -> StubReply {
                    return {StubUpstream::sealedAnswer(request, 200, "v2")};
                }),
          engineAddress(engine.listen()), otherAddress(other.listen())
    {
        this->gateway.store.put("config", "main", EngineConfig);
        this->list("e-1", this->engineAddress, "v1", "m1");
        this->gateway.runFor(milliseconds(900));
        this->gateway.requestId = "r1";
        REQUIRE_FALSE(isOk(this->gateway.send("/write/1", this->headers())));
        REQUIRE(this->engine.received.size() == 1);
        this->list("e-2", this->otherAddress, "v2", "m1");
        this->list("e-1", this->engineAddress, "v1", "");
        this->gateway.runFor(milliseconds(400));
        this->gateway.requestId = "r2";
    }

    void list(const std::string &id, const Address &address, const std::string &version,
              const std::string &model)
    {
        const std::string models =
            model.empty() ? "" : fmt::format(R"({{"name":"{}","adapters":[]}})", model);
        this->gateway.store.put(
            "servers", id,
            fmt::format(R"({{"service":"llm","address":"{}","zone":"here","slots":64,)"
                        R"("state":"ready","sequence":{},"models":[{}],"version":"{}"}})",
                        toString(address), ++this->sequence, models, version));
    }

    /// Takes the stream up again and returns the answer's status; 0 if there is none.
    int takeUp(uint32_t deadlineMs = 15000)
    {
        auto headers = this->headers(deadlineMs);
        headers.emplace_back("Last-Event-Id", "1");
        headers.emplace_back("Resumes", "r1");
        const Instant began = clockNow();
        const auto answer = this->gateway.send("/write/1", headers, "", std::chrono::seconds(16));
        this->took = clockNow() - began;
        return isOk(answer) ? value(answer).status : 0;
    }

    static constexpr Duration StopGrace = std::chrono::seconds(3);

    GatewayFixture gateway;
    StubUpstream engine;
    StubUpstream other;
    Address engineAddress;
    Address otherAddress;
    /// Time at which the engine received the last request.
    Instant receivedAt{};
    Duration took{};

private:
    HttpHeaders headers(uint32_t deadlineMs = 15000) const
    {
        return {{"Marjoramtray-Model", "m1"},
                {"Marjoramtray-Token-Usage", "500,10"},
                {"Marjoramtray-Deadline-Ms", std::to_string(deadlineMs)}};
    }

    /// The first stream breaks off after its first event; later ones end with the second one.
    StubReply reply(const HttpRequest &request)
    {
        this->receivedAt = clockNow();
        StubReply reply;
        reply.bytes = StubUpstream::sealedStreamHead(request);
        if (findHeader(request.headers, "Last-Event-Id").empty()) {
            reply.bytes += StubUpstream::encodeChunk("id: 1\ndata: v1\n\n");
            reply.reset = true;
            reply.delay = milliseconds(1);
        } else {
            reply.bytes += StubUpstream::encodeChunk("id: 2\ndata: v1\n\n") + "0\r\n\r\n";
        }
        return reply;
    }

    int sequence = 0;
};

} // namespace

TEST_CASE("A continuation waits for an engine of its software version that gets its model")
{
    ContinuationFixture fixture;
    auto &gateway = fixture.gateway;

    SUBCASE("by a load that its steward reports")
    {
        gateway.sendModelSnapshot("m1", 600);
        gateway.runAfter(milliseconds(700), [&] { gateway.sendModelSnapshot("m1", std::nullopt); });
        gateway.runFor(milliseconds(50));
        CHECK(fixture.takeUp() == 200);
        CHECK(fixture.took >= milliseconds(500));
    }
    SUBCASE("by a load that nobody has begun yet")
    {
        gateway.sendModelSnapshot("m2", std::nullopt);
        gateway.runAfter(milliseconds(400), [&] { gateway.sendModelSnapshot("m1", 500); });
        gateway.runAfter(milliseconds(900), [&] { gateway.sendModelSnapshot("m1", std::nullopt); });
        gateway.runFor(milliseconds(50));
        CHECK(fixture.takeUp() == 200);
        CHECK(fixture.took >= milliseconds(800));
    }
    SUBCASE("also while another engine loads it for longer than a continuation waits")
    {
        gateway.sendModelSnapshot("m1", 14000);
        gateway.runAfter(milliseconds(800),
                         [&] { fixture.list("e-3", fixture.engineAddress, "v1", "m1"); });
        gateway.runFor(milliseconds(50));
        CHECK(fixture.takeUp() == 200);
        CHECK(fixture.took >= milliseconds(700));
    }
    SUBCASE("or by an engine that comes into the list")
    {
        gateway.runAfter(milliseconds(800),
                         [&] { fixture.list("e-3", fixture.engineAddress, "v1", "m1"); });
        CHECK(fixture.takeUp() == 200);
        CHECK(fixture.took >= milliseconds(700));
    }
    CHECK(fixture.took < std::chrono::seconds(3));
    CHECK(fixture.engine.received.size() == 2);
    CHECK(fixture.other.received.empty());
}

TEST_CASE("A continuation goes on as soon as an engine is ready, not at its next check")
{
    // The checks are 100 ms apart, so that without a wake-up half of the waits would end later.
    std::vector<Duration> delays;
    ContinuationFixture fixture;
    auto &gateway = fixture.gateway;
    bool byList = false;
    SUBCASE("after a snapshot") {}
    SUBCASE("after a change of the instance list")
    {
        byList = true;
    }
    for (int i = 0; i < 7; ++i) {
        Instant readyAt{};
        const std::string id = fmt::format("n-{}", i);
        gateway.requestId = fmt::format("s{}", i);
        if (!byList)
            gateway.sendModelSnapshot("m2", std::nullopt);
        gateway.runAfter(milliseconds(310 + 13 * i), [&] {
            readyAt = clockNow();
            if (byList)
                fixture.list(id, fixture.engineAddress, "v1", "m1");
            else
                gateway.sendModelSnapshot("m1", std::nullopt);
        });
        gateway.runFor(milliseconds(20));
        REQUIRE(fixture.takeUp() == 200);
        REQUIRE(readyAt != Instant{});
        delays.push_back(fixture.receivedAt - readyAt);
        if (byList) {
            gateway.store.remove("servers", id);
            gateway.runFor(milliseconds(900));
        }
    }
    std::sort(delays.begin(), delays.end());
    CHECK(delays[delays.size() / 2] < milliseconds(25));
}

TEST_CASE("A continuation that cannot go on is not kept waiting")
{
    ContinuationFixture fixture;
    auto &gateway = fixture.gateway;

    SUBCASE("if no engine of its version is left")
    {
        gateway.store.remove("servers", "e-1");
        gateway.runFor(milliseconds(900));
        CHECK(fixture.takeUp() == 503);
        CHECK(fixture.took < milliseconds(300));
    }
    SUBCASE("if the last engine of its version leaves during the wait")
    {
        gateway.runAfter(milliseconds(500), [&] { gateway.store.remove("servers", "e-1"); });
        CHECK(fixture.takeUp() == 503);
        CHECK(fixture.took >= milliseconds(400));
        CHECK(fixture.took < milliseconds(2500));
    }
    SUBCASE("longer than its caller does")
    {
        // The load is always said to end soon, and never does.
        for (int i = 0; i < 20; ++i)
            gateway.runAfter(milliseconds(200 * i), [&] { gateway.sendModelSnapshot("m1", 300); });
        gateway.runFor(milliseconds(50));
        CHECK(fixture.takeUp(1500) == 503);
        CHECK(fixture.took < milliseconds(1500));
    }
    SUBCASE("beyond the stop of its gateway")
    {
        Instant stopBegan{};
        gateway.runAfter(milliseconds(500), [&] {
            stopBegan = clockNow();
            asio::co_spawn(
                gateway.context,
                [&]() -> asio::awaitable<void> { co_await gateway.gateway->stop(); },
                asio::detached);
        });
        const int status = fixture.takeUp();
        CHECK(status >= 502);
        CHECK(status <= 503);
        CHECK(clockNow() - stopBegan < ContinuationFixture::StopGrace);
        gateway.runFor(ContinuationFixture::StopGrace);
    }
    CHECK(fixture.engine.received.size() == 1);
    CHECK(fixture.other.received.empty());
}
