// What upstreams ask for in their answers, over real sockets.
#include "GatewayFixture.h"

using namespace tray;
using namespace tray::test;

namespace {

// Limit that the upstreams of these tests name, in requests per second.
constexpr double LimitPerSecond = 1.2;
// Bound of the platform's LIMIT rule.
constexpr Duration LimitWindow = std::chrono::seconds(4);
constexpr size_t MaxRequestsInWindow = 12; // 1.5 x 1.2 x 4 + 5
// Time from which machines that were told of a limit count.
constexpr Duration ToldAfter = milliseconds(500);

/// An upstream that records when it received requests.
struct TimedUpstream
{
    std::vector<Instant> times;
    std::string headerLine;

    StubReply answer(const HttpRequest &request)
    {
        this->times.push_back(clockNow());
        return {this->headerLine.empty()
                    ? StubUpstream::sealedAnswer(request, 200, "fine")
                    : StubUpstream::sealedAnswer(request, 200, "fine", this->headerLine)};
    }

    /// Most requests within a window, from a time on.
    size_t mostInWindow(Instant since, Duration window) const
    {
        size_t most = 0;
        for (auto first = this->times.begin(); first != this->times.end(); ++first) {
            if (*first < since)
                continue;
            const auto end = std::find_if(first, this->times.end(),
                                          [&](Instant time) { return time >= *first + window; });
            most = std::max(most, static_cast<size_t>(end - first));
        }
        return most;
    }
};

struct DirectivesFixture
{
    TimedUpstream first;
    TimedUpstream second;
    GatewayFixture gateway{
        [this](const HttpRequest &request) { return this->first.answer(request); },
        [this](const HttpRequest &request) { return this->second.answer(request); }};

    /// Sends one of a series of requests, some 50 a second if they are answered at once.
    int request(const std::string &target = "/look/1")
    {
        this->gateway.runFor(milliseconds(20));
        return this->gateway.statusOf(target);
    }
};

} // namespace

TEST_CASE("Upstreams that name a limit get no more requests per second than it allows")
{
    DirectivesFixture fixture;
    fixture.first.headerLine = fixture.second.headerLine = "Server-Limit: 1.2";
    const Instant begin = clockNow();
    SUBCASE("from one gateway")
    {
        while (clockNow() < begin + milliseconds(6500))
            fixture.request();
    }
    SUBCASE("from two gateways together")
    {
        const auto [address, readiness] =
            std::pair(fixture.gateway.address, fixture.gateway.readiness);
        const auto peer = fixture.gateway.startPeer("front-2", "there");
        const auto [peerAddress, peerReadiness] =
            std::pair(fixture.gateway.address, fixture.gateway.readiness);
        bool usesPeer = false;
        while (clockNow() < begin + milliseconds(6500)) {
            usesPeer = !usesPeer;
            fixture.gateway.address = usesPeer ? peerAddress : address;
            fixture.gateway.readiness = usesPeer ? peerReadiness : readiness;
            fixture.request();
        }
    }
    const Instant since = begin + ToldAfter;
    CHECK(fixture.first.mostInWindow(since, LimitWindow) <= MaxRequestsInWindow);
    CHECK(fixture.second.mostInWindow(since, LimitWindow) <= MaxRequestsInWindow);
    // The limit is also used.
    CHECK(static_cast<double>(fixture.first.times.size() + fixture.second.times.size()) >=
          LimitPerSecond * 4);
}

TEST_CASE("A refusal that names no limit does not withdraw the limit")
{
    size_t received = 0;
    GatewayFixture fixture([&](const HttpRequest &request) -> StubReply {
        if (++received == 1)
            return {StubUpstream::sealedAnswer(request, 200, "fine", "Server-Limit: 1.2")};
        return {StubUpstream::sealedAnswer(request, 503, "", "Marjoramtray-Not-Executed: 1")};
    });
    fixture.statusOf("/look/1");
    fixture.store.remove("servers", "i-2");
    fixture.runFor(milliseconds(1500));
    // The second one is refused, and the third one exceeds the share.
    for (int i = 0; i < 3; ++i)
        fixture.statusOf("/take/1");
    CHECK(received == 2);
}

TEST_CASE("An upstream that says that it is leaving gets no new requests")
{
    DirectivesFixture fixture;
    CHECK(fixture.request() == 200);
    REQUIRE(fixture.first.times.size() == 1);
    fixture.first.headerLine = "Server-Leaving: 1";
    CHECK(fixture.request() == 200);
    const size_t told = fixture.first.times.size();
    REQUIRE(told == 2);
    SUBCASE("while the instance list shows it as ready")
    {
        for (int i = 0; i < 10; ++i)
            CHECK(fixture.request() == 200);
    }
    SUBCASE("when it has vanished from the list and is listed again")
    {
        fixture.gateway.store.remove("servers", "i-1");
        fixture.gateway.runFor(milliseconds(1500));
        fixture.gateway.addUpstream("i-1", "here", fixture.gateway.firstAddress);
        fixture.gateway.runFor(milliseconds(1500));
        CHECK(fixture.request() == 200);
    }
    SUBCASE("and its requests are refused at once if no other is left")
    {
        fixture.gateway.store.remove("servers", "i-2");
        fixture.gateway.runFor(milliseconds(1500));
        const Instant before = clockNow();
        CHECK(fixture.request() == 503);
        CHECK(clockNow() - before < milliseconds(500));
    }
    CHECK(fixture.first.times.size() == told);
}

TEST_CASE("An upstream that answers 503 with Retry-After is left alone for that time")
{
    const auto refuse = [](const HttpRequest &request, const std::string &retryAfter) {
        return StubReply{StubUpstream::sealedAnswer(
            request, 503, "",
            "Marjoramtray-Not-Executed: 1" +
                (retryAfter.empty() ? "" : "\r\nRetry-After: " + retryAfter))};
    };
    std::string retryAfter = "1.5";
    std::vector<Instant> times;
    bool isRefusing = true;
    const auto answer = [&](const HttpRequest &request) -> StubReply {
        times.push_back(clockNow());
        return isRefusing ? refuse(request, retryAfter)
                          : StubReply{StubUpstream::sealedAnswer(request, 200, "fine")};
    };
    SUBCASE("and others serve its requests")
    {
        GatewayFixture fixture(answer);
        CHECK(fixture.statusOf("/look/1") == 200);
        const Instant told = clockNow();
        while (clockNow() < told + milliseconds(1300))
            CHECK(fixture.statusOf("/look/1") == 200);
        CHECK(times.size() == 1);
        isRefusing = false;
        fixture.store.remove("servers", "i-2");
        fixture.runFor(milliseconds(2500));
        CHECK(fixture.statusOf("/look/1") == 200);
        CHECK(times.size() == 2);
    }
    SUBCASE("and callers are told when it takes requests again if there is no other")
    {
        GatewayFixture fixture(answer, answer);
        fixture.statusOf("/look/1");
        const Instant told = clockNow();
        const auto refused = fixture.send("/take/1");
        REQUIRE(isOk(refused));
        CHECK(value(refused).status == 429);
        CHECK(clockNow() - told < milliseconds(500));
        const auto wait = std::stod(std::string(findHeader(value(refused).headers, "Retry-After")));
        CHECK(wait > 1.0);
        CHECK(wait <= 1.5);
        CHECK(times.size() == 2);
    }
    SUBCASE("unless the time cannot be read")
    {
        for (const std::string odd :
             {"soon", "-3", "nan", "1e400", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            CAPTURE(odd);
            retryAfter = odd;
            GatewayFixture fixture(answer, answer);
            const size_t before = times.size();
            fixture.statusOf("/take/1");
            fixture.statusOf("/take/1");
            CHECK(times.size() > before + 1);
        }
    }
}

TEST_CASE("Requests that wait for an adapter of an engine with a limit share what the limit allows")
{
    DirectivesFixture fixture;
    auto &gateway = fixture.gateway;
    gateway.store.put("config", "main", R"({"version":2,"routes":[
        {"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"safe","timeout_ms":4000,
         "goal_ms":1500,"max_attempts":1,"service":"llm"}],
        "services":[{"name":"llm","max_conns":50,"engine":{"slots":64,"kv_cache_tokens":100000,
         "models":[{"name":"m1","weights_mb":60000,"load_s":8,"adapters":4,"adapter_mb":12}],
         "weights_mb":220000,"adapter_slots":8,"loads_per_s":1}}],
        "limits":{"header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,
         "idle_timeout_ms":5000}})");
    TimedUpstream limited;
    limited.headerLine = "Server-Limit: 1.2";
    StubUpstream engine(gateway.context,
                        [&](const HttpRequest &request) { return limited.answer(request); });
    gateway.addUpstream("e-1", "here", engine.listen(), "llm");
    gateway.runFor(milliseconds(900));
    const auto sendSnapshot = [&](bool hasAdapter) {
        proto::Datagram datagram;
        auto *snapshot = datagram.mutable_snapshot();
        snapshot->set_upstream_id("e-1");
        snapshot->set_can_order(true);
        auto *model = snapshot->add_models();
        model->set_name("m1");
        if (hasAdapter)
            model->add_adapters("a1");
        gateway.steward.send(gateway.datagrams, std::move(datagram));
    };
    sendSnapshot(false);
    gateway.runFor(milliseconds(50));
    CHECK(isOk(gateway.send("/ask/1", {{"Marjoramtray-Model", "m1"}})));
    REQUIRE(limited.times.size() == 1);
    // The share saves up one request.
    gateway.runFor(milliseconds(1000));
    sendSnapshot(false);
    gateway.runFor(milliseconds(50));
    gateway.runAfter(milliseconds(150), [&] { sendSnapshot(true); });
    for (int i = 0; i < 8; ++i) {
        HttpRequest request;
        request.method = "GET";
        request.target = "/ask/1";
        request.headers = {{"Host", "a.example"},
                           {"Marjoramtray-Request-Id", fmt::format("q{}", i)},
                           {"Marjoramtray-Model", "m1/a1"}};
        asio::co_spawn(
            gateway.context,
            [&gateway, request]() -> asio::awaitable<void> {
                co_await gateway.caller.request(gateway.address, request, std::chrono::seconds(5));
            },
            asio::detached);
    }
    gateway.runFor(milliseconds(500));
    CHECK(limited.times.size() == 2);
}
