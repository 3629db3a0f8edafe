// The end of a gateway: what callers get whose requests are still in flight.
#include "GatewayPath.h"

using namespace tray;
using namespace tray::test;

namespace {

// Routes that let a request wait for longer than a stop takes.
const std::string PatientConfig = R"({"version":2,"routes":[
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

/// What a caller got, and when.
struct CallerEnd
{
    std::optional<Result<HttpResponse>> answer;
    Instant at{};

    int status() const
    {
        return this->answer && isOk(*this->answer) ? value(*this->answer).status : 0;
    }
    bool mayReturn() const
    {
        return this->status() != 0 &&
               !findHeader(value(*this->answer).headers, "Retry-After").empty();
    }
};

UpstreamReply hangForever(const HttpRequest &)
{
    UpstreamReply reply;
    reply.hang = true;
    return reply;
}

/// A gateway with callers whose requests are in flight when it is told to stop.
class StoppingGateway
{
public:
    explicit StoppingGateway(UpstreamStandIn::Behaviour behaviour, Duration grace = StopGrace)
        : path(behaviour, {}, grace), engine(path.context, behaviour)
    {
        this->path.store.put("config", "main", PatientConfig);
        this->path.addUpstream("e-1", "here", this->engine.listen(), "llm");
        this->path.runFor(milliseconds(900));
    }

    void send(CallerEnd &end, const std::string &target, const std::string &id, uint32_t tokens)
    {
        this->begin(end, target, id, tokens);
        this->path.runFor(milliseconds(100));
    }

    /// Sends so long after the next run of the path has begun.
    void sendLater(Duration delay, CallerEnd &end, const std::string &target, const std::string &id,
                   uint32_t tokens)
    {
        this->path.later(delay, [=, this, &end] { this->begin(end, target, id, tokens); });
    }

    void begin(CallerEnd &end, const std::string &target, const std::string &id, uint32_t tokens)
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
            this->path.context,
            [this, &end, request]() -> asio::awaitable<void> {
                auto answer = co_await this->path.caller.request(this->path.address, request,
                                                                 std::chrono::seconds(20));
                end.answer = std::move(answer);
                end.at = clockNow();
            },
            asio::detached);
    }

    /// Tells the gateway again and again, as a steward does, that the engine loads the model, with
    /// so much time left, or that it holds it.
    void keepTelling(std::optional<Duration> loadingLeft)
    {
        const Instant loadedAt = clockNow() + loadingLeft.value_or(Duration::zero());
        asio::co_spawn(
            this->path.context,
            [this, loadedAt]() -> asio::awaitable<void> {
                while (true) {
                    std::optional<uint32_t> leftMs;
                    if (clockNow() < loadedAt)
                        leftMs = static_cast<uint32_t>(toMs(loadedAt - clockNow()));
                    this->path.tellModel("m1", leftMs);
                    asio::steady_timer timer(this->path.context, milliseconds(200));
                    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
                }
            },
            asio::detached);
        this->path.runFor(milliseconds(50));
    }

    /// Returns when the process would end.
    void stop()
    {
        this->stopBegan = clockNow();
        asio::co_spawn(
            this->path.context,
            [this]() -> asio::awaitable<void> {
                co_await this->path.gateway->stop();
                this->path.context.stop();
            },
            asio::detached);
        this->path.runFor(StopGrace + std::chrono::seconds(5));
        this->stopTook = clockNow() - this->stopBegan;
    }

    GatewayPath path;
    UpstreamStandIn engine;
    Instant stopBegan{};
    Duration stopTook{};
};

} // namespace

TEST_CASE("A stop leaves no request without a final answer")
{
    StoppingGateway gateway(hangForever);
    CallerEnd first;
    CallerEnd second;

    SUBCASE("one that waits for a load that ends too late is told at once that it did not run")
    {
        gateway.keepTelling(std::chrono::seconds(8));
        gateway.send(first, "/ask/1", "r1", 500);
        REQUIRE_FALSE(first.answer);
        gateway.stop();
        CHECK(first.status() == 503);
        CHECK(first.mayReturn());
        CHECK(first.at - gateway.stopBegan < milliseconds(500));
        CHECK(gateway.engine.received.empty());
    }
    SUBCASE("one that waits for room is told that it did not run")
    {
        gateway.keepTelling(std::nullopt);
        gateway.send(first, "/ask/1", "r1", 4000);
        gateway.send(second, "/ask/2", "r2", 4000);
        REQUIRE(gateway.engine.received.size() == 1);
        REQUIRE_FALSE(second.answer);
        gateway.stop();
        CHECK(first.status() == 502);
        CHECK(second.status() == 503);
        CHECK(second.mayReturn());
        CHECK(gateway.engine.received.size() == 1);
    }
    SUBCASE("one that was sent is told that its outcome is unknown, and its upstream hears of it")
    {
        gateway.send(first, "/take/1", "r1", 0);
        REQUIRE(gateway.path.first.received.size() == 1);
        gateway.stop();
        CHECK(first.status() == 502);
        gateway.path.runFor(milliseconds(100));
        CHECK(gateway.path.first.abandoned == 1);
        CHECK(gateway.path.second.received.empty());
    }
    CHECK(gateway.stopTook < StopGrace);
}

TEST_CASE("A stream that is still running when a stop ends is cut, never ended as if it were whole")
{
    StoppingGateway gateway([](const HttpRequest &request) {
        UpstreamReply reply;
        reply.bytes = UpstreamStandIn::streamHeadFor(request) +
                      UpstreamStandIn::chunkOf("id: 1\ndata: piece\n\n");
        reply.hang = true;
        return reply;
    });
    CallerEnd caller;
    gateway.keepTelling(std::nullopt);
    gateway.send(caller, "/ask/1", "r1", 500);
    REQUIRE(gateway.engine.received.size() == 1);
    gateway.stop();
    gateway.path.runFor(milliseconds(100));
    REQUIRE(caller.answer);
    CHECK_FALSE(isOk(*caller.answer));
    CHECK(gateway.engine.abandoned == 1);
    CHECK(gateway.stopTook < StopGrace);
}

TEST_CASE("A stream that arrives during a stop is sent only if it is expected to end in it")
{
    constexpr Duration Grace = std::chrono::seconds(3);
    constexpr Duration StreamTime = std::chrono::seconds(1);
    StoppingGateway gateway(
        [&](const HttpRequest &request) {
            UpstreamReply reply;
            reply.bytes = UpstreamStandIn::streamHeadFor(request);
            reply.pause = StreamTime;
            reply.pieces = {UpstreamStandIn::chunkOf("id: 1\ndata: piece\n\n") + "0\r\n\r\n"};
            return reply;
        },
        Grace);
    CallerEnd before;
    CallerEnd early;
    CallerEnd late;
    gateway.keepTelling(std::nullopt);
    gateway.send(before, "/ask/1", "r1", 500);
    gateway.path.runFor(StreamTime + milliseconds(200));
    REQUIRE(before.status() == 200);
    gateway.sendLater(milliseconds(300), early, "/ask/2", "r2", 500);
    gateway.sendLater(milliseconds(1900), late, "/ask/3", "r3", 500);
    gateway.stop();
    CHECK(early.status() == 200);
    CHECK(late.status() == 503);
    CHECK(late.mayReturn());
    CHECK(late.at - gateway.stopBegan < milliseconds(2200));
    CHECK(gateway.engine.received.size() == 2);
}

TEST_CASE("A stop whose grace time is shorter than the balancer's time still answers in time")
{
    constexpr Duration ShortGrace = milliseconds(1500);
    StoppingGateway gateway(hangForever, ShortGrace);
    CallerEnd caller;
    gateway.send(caller, "/take/1", "r1", 0);
    REQUIRE(gateway.path.first.received.size() == 1);
    gateway.stop();
    CHECK(caller.status() == 502);
    CHECK(gateway.stopTook < ShortGrace);
}

TEST_CASE("A request whose upload a stop does not await is told that it did not run")
{
    constexpr Duration ShortGrace = milliseconds(1500);
    StoppingGateway gateway(hangForever, ShortGrace);
    asio::ip::tcp::socket socket(gateway.path.context);
    gateway.path.later(milliseconds(500), [&] {
        const auto &address = gateway.path.address;
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
    CHECK(gateway.path.first.received.empty());
}
