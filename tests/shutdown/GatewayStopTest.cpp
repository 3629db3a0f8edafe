// Shutdown of a gateway: every request that is in flight or waiting gets a final answer within the
// grace time.
#include "GatewayFixture.h"

using namespace tray;
using namespace tray::test;

namespace {

// Configuration whose timeouts let a request wait for longer than a stop takes.
const std::string LongTimeoutConfig = R"({"version":2,"routes":[
 {"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":20000,
  "goal_ms":10000,"max_attempts":1,"service":"llm"},
 {"name":"take","host":"a.example","path_prefix":"/take/","kind":"unsafe","timeout_ms":20000,
  "goal_ms":10000,"max_attempts":1,"service":"shop"}],
 "services":[{"name":"shop","max_conns":50},
  {"name":"llm","max_conns":50,"engine":{"slots":64,"kv_cache_tokens":100000,
   "models":[{"name":"m1","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12}],
   "weights_mb":220000,"adapter_slots":8,"loads_per_s":1}}],
 "limits":{"header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,
  "idle_timeout_ms":5000}})";

constexpr Duration StopGrace = std::chrono::seconds(5);

/// Answer that a caller received, and the time of its arrival.
struct CallerResult
{
    std::optional<Result<HttpResponse>> answer;
    Instant arrivedAt{};

    int status() const
    {
        return this->answer && isOk(*this->answer) ? value(*this->answer).status : 0;
    }
    bool hasRetryAfter() const
    {
        return this->status() != 0 &&
               !findHeader(value(*this->answer).headers, "Retry-After").empty();
    }
};

StubReply hangForever(const HttpRequest &)
{
    StubReply reply;
    reply.hang = true;
    return reply;
}

/// A gateway with callers whose requests are in flight when the stop begins.
class StoppingGateway
{
public:
    explicit StoppingGateway(StubUpstream::Behaviour behaviour, Duration grace = StopGrace)
        : fixture(behaviour, {}, grace), engine(fixture.context, behaviour)
    {
        this->fixture.store.put("config", "main", LongTimeoutConfig);
        this->fixture.addUpstream("e-1", "here", this->engine.listen(), "llm");
        this->fixture.runFor(milliseconds(900));
    }

    void send(CallerResult &result, const std::string &target, const std::string &id,
              uint32_t tokens)
    {
        this->begin(result, target, id, tokens);
        this->fixture.runFor(milliseconds(100));
    }

    /// Sends a request after a delay that starts with the next run of the fixture.
    void sendLater(Duration delay, CallerResult &result, const std::string &target,
                   const std::string &id, uint32_t tokens)
    {
        this->fixture.runAfter(delay,
                               [=, this, &result] { this->begin(result, target, id, tokens); });
    }

    void begin(CallerResult &result, const std::string &target, const std::string &id,
               uint32_t tokens)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        request.headers = {{"Host", "a.example"}, {"Marjoramtray-Request-Id", id}};
        if (tokens > 0) {
            request.headers.emplace_back("Marjoramtray-Model", "m1");
            request.headers.emplace_back("Marjoramtray-Token-Usage", fmt::format("{},10", tokens));
        }
        request.body = "x";
        asio::co_spawn(
            this->fixture.context,
            [this, &result, request]() -> asio::awaitable<void> {
                auto answer = co_await this->fixture.caller.request(this->fixture.address, request,
                                                                    std::chrono::seconds(20));
                result.answer = std::move(answer);
                result.arrivedAt = clockNow();
            },
            asio::detached);
    }

    /// Sends the gateway a steward's snapshot every 200 ms: the engine loads the model until the
    /// given time has passed, or holds the model if no time is given.
    void keepSendingSnapshots(std::optional<Duration> loadingLeft)
    {
        const Instant loadedAt = clockNow() + loadingLeft.value_or(Duration::zero());
        asio::co_spawn(
            this->fixture.context,
            [this, loadedAt]() -> asio::awaitable<void> {
                while (true) {
                    std::optional<uint32_t> leftMs;
                    if (clockNow() < loadedAt)
                        leftMs = static_cast<uint32_t>(toMs(loadedAt - clockNow()));
                    this->fixture.sendModelSnapshot("m1", leftMs);
                    asio::steady_timer timer(this->fixture.context, milliseconds(200));
                    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
                }
            },
            asio::detached);
        this->fixture.runFor(milliseconds(50));
    }

    /// Stops the gateway and returns when its process would end.
    void stop()
    {
        this->stopBegan = clockNow();
        asio::co_spawn(
            this->fixture.context,
            [this]() -> asio::awaitable<void> {
                co_await this->fixture.gateway->stop();
                this->fixture.context.stop();
            },
            asio::detached);
        this->fixture.runFor(StopGrace + std::chrono::seconds(5));
        this->stopTook = clockNow() - this->stopBegan;
    }

    GatewayFixture fixture;
    StubUpstream engine;
    Instant stopBegan{};
    Duration stopTook{};
};

} // namespace

TEST_CASE("Every request gets a final answer during a stop")
{
    StoppingGateway gateway(hangForever);
    CallerResult first;
    CallerResult second;

    SUBCASE("one that waits for a load that ends too late is refused immediately as not executed")
    {
        gateway.keepSendingSnapshots(std::chrono::seconds(8));
        gateway.send(first, "/ask/1", "r1", 500);
        REQUIRE_FALSE(first.answer);
        gateway.stop();
        CHECK(first.status() == 503);
        CHECK(first.hasRetryAfter());
        CHECK(first.arrivedAt - gateway.stopBegan < milliseconds(500));
        CHECK(gateway.engine.received.empty());
    }
    SUBCASE("one that waits for capacity is refused as not executed")
    {
        gateway.keepSendingSnapshots(std::nullopt);
        gateway.send(first, "/ask/1", "r1", 4000);
        gateway.send(second, "/ask/2", "r2", 4000);
        REQUIRE(gateway.engine.received.size() == 1);
        REQUIRE_FALSE(second.answer);
        gateway.stop();
        CHECK(first.status() == 502);
        CHECK(second.status() == 503);
        CHECK(second.hasRetryAfter());
        CHECK(gateway.engine.received.size() == 1);
    }
    SUBCASE(
        "one that was sent is answered with an unknown outcome, and its upstream is disconnected")
    {
        gateway.send(first, "/take/1", "r1", 0);
        REQUIRE(gateway.fixture.first.received.size() == 1);
        gateway.stop();
        CHECK(first.status() == 502);
        gateway.fixture.runFor(milliseconds(100));
        CHECK(gateway.fixture.first.closedByPeer == 1);
        CHECK(gateway.fixture.second.received.empty());
    }
    CHECK(gateway.stopTook < StopGrace);
}

TEST_CASE("A stream that is still running when a stop ends is aborted, never ended as if complete")
{
    StoppingGateway gateway([](const HttpRequest &request) {
        StubReply reply;
        reply.bytes = StubUpstream::sealedStreamHead(request) +
                      StubUpstream::encodeChunk("id: 1\ndata: piece\n\n");
        reply.hang = true;
        return reply;
    });
    CallerResult caller;
    gateway.keepSendingSnapshots(std::nullopt);
    gateway.send(caller, "/ask/1", "r1", 500);
    REQUIRE(gateway.engine.received.size() == 1);
    gateway.stop();
    gateway.fixture.runFor(milliseconds(100));
    REQUIRE(caller.answer);
    CHECK_FALSE(isOk(*caller.answer));
    CHECK(gateway.engine.closedByPeer == 1);
    CHECK(gateway.stopTook < StopGrace);
}

TEST_CASE(
    "A stream that arrives during a stop is admitted only if it is expected to end before the stop")
{
    constexpr Duration Grace = std::chrono::seconds(3);
    constexpr Duration StreamTime = std::chrono::seconds(1);
    StoppingGateway gateway(
        [&](const HttpRequest &request) {
            StubReply reply;
            reply.bytes = StubUpstream::sealedStreamHead(request);
            reply.pieceDelay = StreamTime;
            reply.pieces = {StubUpstream::encodeChunk("id: 1\ndata: piece\n\n") + "0\r\n\r\n"};
            return reply;
        },
        Grace);
    CallerResult before;
    CallerResult early;
    CallerResult late;
    gateway.keepSendingSnapshots(std::nullopt);
    gateway.send(before, "/ask/1", "r1", 500);
    gateway.fixture.runFor(StreamTime + milliseconds(200));
    REQUIRE(before.status() == 200);
    gateway.sendLater(milliseconds(300), early, "/ask/2", "r2", 500);
    gateway.sendLater(milliseconds(1900), late, "/ask/3", "r3", 500);
    gateway.stop();
    CHECK(early.status() == 200);
    CHECK(late.status() == 503);
    CHECK(late.hasRetryAfter());
    CHECK(late.arrivedAt - gateway.stopBegan < milliseconds(2200));
    CHECK(gateway.engine.received.size() == 2);
}

TEST_CASE("A request that may outlast a stop is not passed on late in the grace time")
{
    constexpr Duration Grace = milliseconds(1500);
    constexpr Duration LateAt = milliseconds(500);
    constexpr Duration LongTime = std::chrono::seconds(1);
    constexpr Duration ShortTime = milliseconds(50);
    Duration answerTime = LongTime;
    const auto answerSlowly = [&](const HttpRequest &request) {
        StubReply reply;
        if (request.target.starts_with("/ask/")) {
            reply.bytes = StubUpstream::sealedStreamHead(request);
            reply.pieceDelay = answerTime;
            reply.pieces = {StubUpstream::encodeChunk("id: 1\ndata: piece\n\n") + "0\r\n\r\n"};
        } else {
            reply.delay = answerTime;
            reply.bytes = StubUpstream::sealedAnswer(request, 200, "done");
        }
        return reply;
    };
    // A stream, and a request that must not be repeated.
    const std::vector<std::pair<std::string, uint32_t>> requests{{"/ask/1", 500}, {"/take/1", 0}};
    /// Sends requests late in the grace time, after answers of these durations on their routes.
    const auto play = [&](const std::vector<Duration> &earlier, bool isExpectedToFit) {
        StoppingGateway gateway(answerSlowly, Grace);
        gateway.keepSendingSnapshots(std::nullopt);
        for (const Duration duration : earlier) {
            answerTime = duration;
            std::vector<CallerResult> before(requests.size());
            for (size_t i = 0; i < requests.size(); ++i)
                gateway.begin(before[i], requests[i].first, fmt::format("before-{}", i),
                              requests[i].second);
            gateway.fixture.runFor(duration + milliseconds(150));
            for (const auto &result : before)
                REQUIRE(result.status() == 200);
        }
        answerTime = isExpectedToFit ? ShortTime : LongTime;
        std::vector<CallerResult> late(requests.size());
        for (size_t i = 0; i < requests.size(); ++i)
            gateway.sendLater(LateAt, late[i], requests[i].first, fmt::format("late-{}", i),
                              requests[i].second);
        gateway.stop();
        for (const auto &result : late)
            CHECK(result.status() == (isExpectedToFit ? 200 : 503));
        const size_t expected = earlier.size() + (isExpectedToFit ? 1 : 0);
        CHECK(gateway.engine.received.size() == expected);
        CHECK(gateway.fixture.first.received.size() == expected);
        CHECK(gateway.stopTook < Grace);
    };
    SUBCASE("if nothing is known of the route's answers")
    {
        play({}, false);
    }
    SUBCASE("if some of the route's answers take long")
    {
        play({ShortTime, ShortTime, ShortTime, LongTime}, false);
    }
    SUBCASE("but one whose route's answers are all short is")
    {
        play({ShortTime, ShortTime}, true);
    }
}

TEST_CASE("A stop with a grace time shorter than the load balancer's time still answers in time")
{
    constexpr Duration ShortGrace = milliseconds(1500);
    StoppingGateway gateway(hangForever, ShortGrace);
    CallerResult caller;
    gateway.send(caller, "/take/1", "r1", 0);
    REQUIRE(gateway.fixture.first.received.size() == 1);
    gateway.stop();
    CHECK(caller.status() == 502);
    CHECK(gateway.stopTook < ShortGrace);
}

TEST_CASE("A request whose upload outlasts the stop is refused as not executed")
{
    constexpr Duration ShortGrace = milliseconds(1500);
    StoppingGateway gateway(hangForever, ShortGrace);
    asio::ip::tcp::socket socket(gateway.fixture.context);
    gateway.fixture.runAfter(milliseconds(500), [&] {
        const auto &address = gateway.fixture.address;
        socket.connect({asio::ip::make_address(address.host), address.port});
        asio::write(socket, asio::buffer(std::string("POST /take/1 HTTP/1.1\r\nHost: a.example\r\n"
                                                     "Content-Length: 4\r\n\r\nab")));
    });
    gateway.stop();
    CHECK(gateway.stopTook < ShortGrace);
    std::string answer;
    boost::system::error_code code;
    socket.non_blocking(true);
    asio::read(socket, asio::dynamic_buffer(answer), code);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: 0.05") != std::string::npos);
    CHECK(gateway.fixture.first.received.empty());
}
