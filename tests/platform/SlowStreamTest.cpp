// Slow and stalled answers: a request lasts until its deadline, and neither a pause before it nor a
// byte now and then beyond it changes that.
#include "GatewayPath.h"
#include "net/SocketOptions.h"

using namespace tray;
using namespace tray::test;

namespace {

// All routes of the configuration end at this time.
constexpr auto RouteTimeout = milliseconds(1500);
// Longest time from the deadline to the final answer.
constexpr auto Lateness = milliseconds(500);
constexpr auto Await = asio::as_tuple(asio::use_awaitable);

std::string eventOf(int id, size_t size = 8)
{
    return fmt::format("id: {}\ndata: {}\n\n", id, std::string(size, 'x'));
}

/// A caller that sends one request and then reads at a pace of its own.
class PacedCaller
{
public:
    /// Reads so many bytes at a time, each after a pause, the first ones after a pause of their
    /// own.
    PacedCaller(GatewayPath &path, size_t readSize, Duration pause, Duration firstPause = {})
        : path(path), readSize(readSize), pause(pause), firstPause(firstPause)
    {}

    /// Sends a request for a target and reads until the gateway closes.
    void run(const std::string &target, Duration longest)
    {
        this->path.runFor(milliseconds(600));
        asio::co_spawn(this->path.context, this->exchange(target), asio::detached);
        this->path.context.restart();
        this->path.context.run_for(longest);
    }

    std::string answer;
    Instant sentAt{};

private:
    asio::awaitable<void> exchange(std::string target)
    {
        asio::ip::tcp::socket socket(this->path.context);
        socket.open(asio::ip::tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(64 << 10));
        const asio::ip::tcp::endpoint gateway(asio::ip::make_address(this->path.address.host),
                                              this->path.address.port);
        co_await socket.async_connect(gateway, Await);
        const std::string bytes = "POST " + target +
                                  " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                                  "Marjoramtray-Request-Id: r1\r\nContent-Length: 1\r\n\r\nx";
        this->sentAt = clockNow();
        co_await asio::async_write(socket, asio::buffer(bytes), Await);
        std::string piece(this->readSize, '\0');
        asio::steady_timer timer(this->path.context, this->firstPause);
        co_await timer.async_wait(Await);
        while (true) {
            timer.expires_after(this->pause);
            if (this->pause > Duration::zero())
                co_await timer.async_wait(Await);
            const auto [code, size] = co_await socket.async_read_some(asio::buffer(piece), Await);
            if (code)
                break;
            this->answer.append(piece, 0, size);
        }
        this->path.context.stop();
    }

    GatewayPath &path;
    const size_t readSize;
    const Duration pause;
    const Duration firstPause;
};

} // namespace

TEST_CASE("A sound stream that pauses is whole")
{
    // The pause is longer than the operator's limit on the arrival of requests.
    UpstreamReply reply;
    reply.pieces = {UpstreamStandIn::chunkOf(eventOf(2)) + "0\r\n\r\n"};
    reply.pause = milliseconds(1200);
    std::string started;
    SUBCASE("between events")
    {
        started = UpstreamStandIn::chunkOf(eventOf(1));
    }
    SUBCASE("before its first event") {}
    SUBCASE("in the middle of an event")
    {
        started = UpstreamStandIn::chunkOf("id: 1\nda");
        reply.pieces = {UpstreamStandIn::chunkOf("ta: xxxxxxxx\n\n" + eventOf(2)) + "0\r\n\r\n"};
    }
    GatewayPath path([&](const HttpRequest &request) {
        reply.bytes = UpstreamStandIn::streamHeadFor(request) + started;
        return reply;
    });
    const auto answer = path.send("/tell/1", {}, "x");
    REQUIRE(isOk(answer));
    CHECK(value(answer).body.ends_with(eventOf(2)));
    CHECK(path.second.received.empty());
}

TEST_CASE("An upstream that sends a byte now and then ends with the deadline")
{
    std::string head = "HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: r1\r\n"
                       "Marjoramtray-Response-Seal: s1\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string target = "/tell/1";
    UpstreamReply reply;
    reply.pause = milliseconds(40);
    SUBCASE("in an event that is never complete")
    {
        reply.bytes = chunked + UpstreamStandIn::chunkOf(eventOf(1));
        reply.endless = UpstreamStandIn::chunkOf("x");
    }
    SUBCASE("in events of comments alone")
    {
        reply.bytes = chunked + UpstreamStandIn::chunkOf(eventOf(1));
        reply.endless = UpstreamStandIn::chunkOf(":\n\n");
    }
    SUBCASE("in the size of a chunk")
    {
        reply.bytes = chunked + UpstreamStandIn::chunkOf(eventOf(1));
        reply.endless = "0";
    }
    SUBCASE("in the extension of a chunk")
    {
        reply.bytes = chunked + UpstreamStandIn::chunkOf(eventOf(1)) + "5;a=";
        reply.endless = "1";
    }
    SUBCASE("in the trailers of a stream")
    {
        reply.bytes = chunked + UpstreamStandIn::chunkOf(eventOf(1)) + "0\r\n";
        reply.endless = "X-More: 1\r\n";
    }
    SUBCASE("in the head of a stream")
    {
        reply.bytes = head;
        reply.endless = "X-More: 1\r\n";
    }
    SUBCASE("in a whole answer with a length")
    {
        target = "/take/1";
        reply.bytes = head + "Content-Length: 1000000\r\n\r\n";
        reply.endless = "x";
    }
    SUBCASE("in a whole answer that ends with its connection")
    {
        target = "/take/1";
        reply.bytes = head + "\r\n";
        reply.endless = "x";
    }
    GatewayPath path([&](const HttpRequest &) { return reply; });
    PacedCaller caller(path, 4096, Duration::zero());
    caller.run(target, std::chrono::seconds(4));
    const bool cut = caller.answer.starts_with("HTTP/1.1 200");
    CHECK((cut || caller.answer.starts_with("HTTP/1.1 504")));
    CHECK_FALSE((cut && caller.answer.ends_with("0\r\n\r\n")));
    path.runFor(milliseconds(300));
    REQUIRE(path.first.endlessEndedAt);
    const Duration lasted = *path.first.endlessEndedAt - caller.sentAt;
    CHECK(lasted >= RouteTimeout - milliseconds(100));
    CHECK(lasted <= RouteTimeout + Lateness);
    CHECK(path.second.received.empty());
}

TEST_CASE("A refusal whose rest does not come is no reason to miss the deadline")
{
    UpstreamReply reply;
    reply.bytes = "HTTP/1.1 503 X\r\nMarjoramtray-Not-Executed: 1\r\nContent-Length: 100\r\n\r\n";
    reply.delay = RouteTimeout - milliseconds(100);
    reply.hang = true;
    GatewayPath path([&](const HttpRequest &) { return reply; });
    PacedCaller caller(path, 4096, Duration::zero());
    caller.run("/take/1", std::chrono::seconds(4));
    CHECK(caller.answer.starts_with("HTTP/1.1 429"));
    CHECK(clockNow() - caller.sentAt <= RouteTimeout + milliseconds(200));
}

TEST_CASE("A caller that reads a little now and then ends with the deadline")
{
    UpstreamReply reply;
    reply.endless = UpstreamStandIn::chunkOf(eventOf(1, 4000));
    GatewayPath path([&](const HttpRequest &request) {
        reply.bytes = UpstreamStandIn::streamHeadFor(request);
        return reply;
    });
    size_t readSize = 4096;
    Duration pause = milliseconds(5);
    SUBCASE("slower than the operator's limit on the arrival of requests") {}
    SUBCASE("faster than that")
    {
        readSize = 256u << 10;
        pause = milliseconds(30);
    }
    SUBCASE("a single byte at a time")
    {
        readSize = 1;
        pause = milliseconds(50);
    }
    SUBCASE("or none at all")
    {
        pause = std::chrono::seconds(20);
    }
    PacedCaller caller(path, readSize, pause);
    caller.run("/tell/1", std::chrono::seconds(4));
    REQUIRE(path.first.endlessEndedAt);
    const Duration lasted = *path.first.endlessEndedAt - caller.sentAt;
    CHECK(lasted >= RouteTimeout - milliseconds(100));
    CHECK(lasted <= RouteTimeout + Lateness);
}

TEST_CASE("A sound caller that pauses within its deadline gets the whole answer")
{
    // More than the sockets between hold; the pause is longer than the limit on the arrival of
    // requests and than a dead path is waited for. The deadline leaves a busy machine time to move
    // the bytes.
    constexpr int Events = 3000;
    const std::string deadlineMs = "30000";
    std::string events;
    for (int i = 1; i <= Events; ++i)
        events += eventOf(i, 4000);
    auto config = Config;
    for (auto at = config.find("1500"); at != std::string::npos; at = config.find("1500"))
        config.replace(at, 4, deadlineMs);
    config.replace(config.find("\"version\":1"), 11, "\"version\":2");
    config.replace(config.find("\"header_timeout_ms\":1000"), 24, "\"header_timeout_ms\":300");
    std::string target;
    bool isStream = false;
    SUBCASE("of a stream")
    {
        target = "/tell/1";
        isStream = true;
    }
    SUBCASE("of another answer")
    {
        target = "/take/1";
        events.resize(7u << 20);
    }
    GatewayPath path([&](const HttpRequest &request) -> UpstreamReply {
        if (!isStream)
            return {UpstreamStandIn::answerTo(request, 200, events)};
        return {UpstreamStandIn::streamHeadFor(request) + UpstreamStandIn::chunkOf(events) +
                "0\r\n\r\n"};
    });
    path.store.put("config", "main", config);
    path.runFor(milliseconds(600));
    PacedCaller caller(path, 1u << 20, Duration::zero(), DeadPathTime + milliseconds(1500));
    caller.run(target, std::chrono::seconds(32));
    CHECK(caller.answer.size() >= events.size());
    if (isStream)
        CHECK(caller.answer.ends_with("0\r\n\r\n"));
}
