// Deadlines of slow and stalled answers: a pause within the deadline does not end a request, and
// single bytes do not extend a request beyond its deadline.
#include "GatewayFixture.h"
#include "net/SocketOptions.h"

using namespace tray;
using namespace tray::test;

namespace {

// Timeout of all routes of the configuration.
constexpr auto RouteTimeout = milliseconds(1500);
// Maximum time from the deadline to the end of the request.
constexpr auto MaxDeadlineOverrun = milliseconds(500);
constexpr auto Await = asio::as_tuple(asio::use_awaitable);

std::string eventOf(int id, size_t size = 8)
{
    return fmt::format("id: {}\ndata: {}\n\n", id, std::string(size, 'x'));
}

/// Caller that sends one request and reads the answer at a limited rate.
class ThrottledCaller
{
public:
    /// Reads up to readSize bytes at a time with a pause before each read; the first read has an
    /// additional pause.
    ThrottledCaller(GatewayFixture &fixture, size_t readSize, Duration pause,
                    Duration firstPause = {})
        : fixture(fixture), readSize(readSize), pause(pause), firstPause(firstPause)
    {}

    /// Sends a request for a target and reads until the gateway closes the connection or the
    /// longest time has passed.
    void run(const std::string &target, Duration longest)
    {
        this->fixture.runFor(milliseconds(600));
        asio::co_spawn(this->fixture.context, this->exchange(target), asio::detached);
        this->fixture.context.restart();
        this->fixture.context.run_for(longest);
    }

    std::string answer;
    Instant sentAt{};

private:
    asio::awaitable<void> exchange(std::string target)
    {
        asio::ip::tcp::socket socket(this->fixture.context);
        socket.open(asio::ip::tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(64 << 10));
        const asio::ip::tcp::endpoint gateway(asio::ip::make_address(this->fixture.address.host),
                                              this->fixture.address.port);
        co_await socket.async_connect(gateway, Await);
        const std::string bytes = "POST " + target +
                                  " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                                  "Marjoramtray-Request-Id: r1\r\nContent-Length: 1\r\n\r\nx";
        this->sentAt = clockNow();
        co_await asio::async_write(socket, asio::buffer(bytes), Await);
        std::string piece(this->readSize, '\0');
        asio::steady_timer timer(this->fixture.context, this->firstPause);
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
        this->fixture.context.stop();
    }

    GatewayFixture &fixture;
    const size_t readSize;
    const Duration pause;
    const Duration firstPause;
};

} // namespace

TEST_CASE("A stream that pauses within its deadline is delivered completely")
{
    // The pause is longer than header_timeout_ms, the operator's limit on the arrival of requests.
    StubReply reply;
    reply.pieces = {StubUpstream::encodeChunk(eventOf(2)) + "0\r\n\r\n"};
    reply.pieceDelay = milliseconds(1200);
    std::string started;
    SUBCASE("between events")
    {
        started = StubUpstream::encodeChunk(eventOf(1));
    }
    SUBCASE("before its first event") {}
    SUBCASE("in the middle of an event")
    {
        started = StubUpstream::encodeChunk("id: 1\nda");
        reply.pieces = {StubUpstream::encodeChunk("ta: xxxxxxxx\n\n" + eventOf(2)) + "0\r\n\r\n"};
    }
    GatewayFixture fixture([&](const HttpRequest &request) {
        reply.bytes = StubUpstream::sealedStreamHead(request) + started;
        return reply;
    });
    const auto answer = fixture.send("/tell/1", {}, "x");
    REQUIRE(isOk(answer));
    CHECK(value(answer).body.ends_with(eventOf(2)));
    CHECK(fixture.second.received.empty());
}

TEST_CASE("An upstream that sends single bytes is disconnected at the deadline")
{
    std::string head = "HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: r1\r\n"
                       "Marjoramtray-Response-Seal: s1\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string target = "/tell/1";
    StubReply reply;
    reply.pieceDelay = milliseconds(40);
    SUBCASE("in an event that is never complete")
    {
        reply.bytes = chunked + StubUpstream::encodeChunk(eventOf(1));
        reply.repeatedBytes = StubUpstream::encodeChunk("x");
    }
    SUBCASE("in events that contain only comments")
    {
        reply.bytes = chunked + StubUpstream::encodeChunk(eventOf(1));
        reply.repeatedBytes = StubUpstream::encodeChunk(":\n\n");
    }
    SUBCASE("in the size of a chunk")
    {
        reply.bytes = chunked + StubUpstream::encodeChunk(eventOf(1));
        reply.repeatedBytes = "0";
    }
    SUBCASE("in the extension of a chunk")
    {
        reply.bytes = chunked + StubUpstream::encodeChunk(eventOf(1)) + "5;a=";
        reply.repeatedBytes = "1";
    }
    SUBCASE("in the trailers of a stream")
    {
        reply.bytes = chunked + StubUpstream::encodeChunk(eventOf(1)) + "0\r\n";
        reply.repeatedBytes = "X-More: 1\r\n";
    }
    SUBCASE("in the head of a stream")
    {
        reply.bytes = head;
        reply.repeatedBytes = "X-More: 1\r\n";
    }
    SUBCASE("in a buffered answer with a length")
    {
        target = "/take/1";
        reply.bytes = head + "Content-Length: 1000000\r\n\r\n";
        reply.repeatedBytes = "x";
    }
    SUBCASE("in a buffered answer that ends with its connection")
    {
        target = "/take/1";
        reply.bytes = head + "\r\n";
        reply.repeatedBytes = "x";
    }
    GatewayFixture fixture([&](const HttpRequest &) { return reply; });
    ThrottledCaller caller(fixture, 4096, Duration::zero());
    caller.run(target, std::chrono::seconds(4));
    const bool cut = caller.answer.starts_with("HTTP/1.1 200");
    CHECK((cut || caller.answer.starts_with("HTTP/1.1 504")));
    CHECK_FALSE((cut && caller.answer.ends_with("0\r\n\r\n")));
    fixture.runFor(milliseconds(300));
    REQUIRE(fixture.first.repeatedBytesEndedAt);
    const Duration lasted = *fixture.first.repeatedBytesEndedAt - caller.sentAt;
    CHECK(lasted >= RouteTimeout - milliseconds(100));
    CHECK(lasted <= RouteTimeout + MaxDeadlineOverrun);
    CHECK(fixture.second.received.empty());
}

TEST_CASE("A refusal with an incomplete body does not delay the answer beyond the deadline")
{
    StubReply reply;
    reply.bytes = "HTTP/1.1 503 X\r\nMarjoramtray-Request-Id: r1\r\n"
                  "Marjoramtray-Not-Executed: 1\r\nContent-Length: 100\r\n\r\n";
    reply.delay = RouteTimeout - milliseconds(100);
    reply.hang = true;
    GatewayFixture fixture([&](const HttpRequest &) { return reply; });
    ThrottledCaller caller(fixture, 4096, Duration::zero());
    caller.run("/take/1", std::chrono::seconds(4));
    CHECK(caller.answer.starts_with("HTTP/1.1 429"));
    CHECK(clockNow() - caller.sentAt <= RouteTimeout + milliseconds(200));
}

TEST_CASE("A caller that reads slowly is disconnected at the deadline")
{
    StubReply reply;
    reply.repeatedBytes = StubUpstream::encodeChunk(eventOf(1, 4000));
    GatewayFixture fixture([&](const HttpRequest &request) {
        reply.bytes = StubUpstream::sealedStreamHead(request);
        return reply;
    });
    size_t readSize = 4096;
    Duration pause = milliseconds(5);
    SUBCASE("slower than the operator's limit on the arrival of requests") {}
    SUBCASE("faster than the operator's limit on the arrival of requests")
    {
        readSize = 256u << 10;
        pause = milliseconds(30);
    }
    SUBCASE("a single byte at a time")
    {
        readSize = 1;
        pause = milliseconds(50);
    }
    SUBCASE("no bytes at all")
    {
        pause = std::chrono::seconds(20);
    }
    ThrottledCaller caller(fixture, readSize, pause);
    caller.run("/tell/1", std::chrono::seconds(4));
    REQUIRE(fixture.first.repeatedBytesEndedAt);
    const Duration lasted = *fixture.first.repeatedBytesEndedAt - caller.sentAt;
    CHECK(lasted >= RouteTimeout - milliseconds(100));
    CHECK(lasted <= RouteTimeout + MaxDeadlineOverrun);
}

TEST_CASE("A caller that pauses within its deadline gets the complete answer")
{
    // The events exceed the sockets' buffers, and the pause exceeds both header_timeout_ms and the
    // time after which the kernel drops an unresponsive peer. The deadline leaves a busy machine
    // time to transfer the bytes.
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
    SUBCASE("as a stream")
    {
        target = "/tell/1";
        isStream = true;
    }
    SUBCASE("as a buffered answer")
    {
        target = "/take/1";
        events.resize(7u << 20);
    }
    GatewayFixture fixture([&](const HttpRequest &request) -> StubReply {
        if (!isStream)
            return {StubUpstream::sealedAnswer(request, 200, events)};
        return {StubUpstream::sealedStreamHead(request) + StubUpstream::encodeChunk(events) +
                "0\r\n\r\n"};
    });
    fixture.store.put("config", "main", config);
    fixture.runFor(milliseconds(600));
    ThrottledCaller caller(fixture, 1u << 20, Duration::zero(),
                           DeadPathTimeout + milliseconds(1500));
    caller.run(target, std::chrono::seconds(32));
    CHECK(caller.answer.size() >= events.size());
    if (isStream)
        CHECK(caller.answer.ends_with("0\r\n\r\n"));
}
