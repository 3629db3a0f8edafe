// Limits on callers that send bytes without end, over real sockets: the gateway refuses or closes
// their connections, keeps few of their bytes and goes on serving other callers.
#include "GatewayFixture.h"

using namespace tray;
using namespace tray::platform;
using namespace tray::test;
namespace asio = boost::asio;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// Bytes that one caller sends.
struct UnboundedRequest
{
    std::string head;
    /// Sent repeatedly after the first bytes, until the gateway closes the connection.
    std::string repeatedBytes;
    /// Pause between two repetitions.
    Duration pause{};
};

/// Client that sends bytes without end and reads everything that the gateway returns.
class UnboundedCaller
{
public:
    // Number of bytes and time after which the client stops sending, so that a test ends.
    static constexpr size_t MaxBytes = 64u << 20;
    static constexpr Duration MaxTime = std::chrono::seconds(6);

    UnboundedCaller(asio::io_context &context, UnboundedRequest bytes)
        : socket(context), bytes(std::move(bytes))
    {}

    void start(const Address &address)
    {
        this->began = clockNow();
        this->socket.connect({asio::ip::make_address(address.host), address.port});
        asio::co_spawn(this->socket.get_executor(), this->send(), asio::detached);
        asio::co_spawn(this->socket.get_executor(), this->receive(), asio::detached);
    }

    std::string answer;
    size_t sent = 0;
    /// Time until the gateway ended its side of the connection.
    std::optional<Duration> endedAfter;
    /// The gateway has closed both directions of the connection.
    bool closed = false;

private:
    asio::awaitable<void> send()
    {
        asio::steady_timer timer(this->socket.get_executor());
        co_await asio::async_write(this->socket, asio::buffer(this->bytes.head), Await);
        while (this->sent < MaxBytes && clockNow() - this->began < MaxTime) {
            const auto [code, size] = co_await asio::async_write(
                this->socket, asio::buffer(this->bytes.repeatedBytes), Await);
            this->sent += size;
            if (code) {
                this->closed = true;
                co_return;
            }
            timer.expires_after(this->bytes.pause);
            co_await timer.async_wait(Await);
        }
    }

    asio::awaitable<void> receive()
    {
        std::string piece(4096, '\0');
        while (true) {
            const auto [code, size] =
                co_await this->socket.async_read_some(asio::buffer(piece), Await);
            this->answer.append(piece, 0, size);
            if (code)
                break;
        }
        this->endedAfter = clockNow() - this->began;
    }

    asio::ip::tcp::socket socket;
    UnboundedRequest bytes;
    Instant began;
};

} // namespace

TEST_CASE("A caller that sends bytes without end is disconnected, and few of the bytes are kept")
{
    const std::string head = "POST /take/1 HTTP/1.1\r\nHost: a.example\r\n"
                             "Marjoramtray-Request-Id: r1\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(4096, '1');
    UnboundedRequest bytes;
    std::string status;
    bool isForwarded = false;
    SUBCASE("before any request line")
    {
        bytes = {"", filler};
        status = "431";
    }
    SUBCASE("in the request line")
    {
        bytes = {"GET /look/", filler};
        status = "431";
    }
    SUBCASE("in one header")
    {
        bytes = {head + "X-Long: ", filler};
        status = "431";
    }
    SUBCASE("in headers")
    {
        bytes = {head, "X-More: 1\r\n"};
        bytes.repeatedBytes = "X-More: " + filler + "\r\n";
        status = "431";
    }
    SUBCASE("before a chunk's size")
    {
        bytes = {chunked, std::string(4096, ' ')};
        status = "431";
    }
    SUBCASE("in a chunk's size")
    {
        bytes = {chunked, std::string(4096, '0')};
        status = "431";
    }
    SUBCASE("in a chunk's extension")
    {
        bytes = {chunked + "5;a=", filler};
        status = "431";
    }
    SUBCASE("in trailers")
    {
        bytes = {chunked + "2\r\nok\r\n0\r\n", "X-More: " + filler + "\r\n"};
        status = "431";
    }
    SUBCASE("in a chunked body")
    {
        bytes = {chunked, StubUpstream::encodeChunk(filler)};
        status = "413";
    }
    SUBCASE("in a header, one byte every 50 ms")
    {
        bytes = {head + "X-Long: ", "1", milliseconds(50)};
        status = "408";
    }
    SUBCASE("in a body with a length, one byte every 50 ms")
    {
        bytes = {head + "Content-Length: 5000\r\n\r\n", "1", milliseconds(50)};
        status = "408";
    }
    SUBCASE("after a request that is being answered")
    {
        bytes = {head + "Content-Length: 1\r\n\r\nx", filler};
        status = "200";
        isForwarded = true;
    }
    SUBCASE("after the last request of the connection, which is being answered")
    {
        bytes = {head + "Connection: close\r\nContent-Length: 1\r\n\r\nx", filler};
        status = "200";
        isForwarded = true;
    }
    GatewayFixture fixture([](const HttpRequest &request) {
        StubReply reply{StubUpstream::sealedAnswer(request, 200, "first")};
        reply.delay = milliseconds(request.target == "/take/1" ? 300 : 0);
        return reply;
    });
    REQUIRE(fixture.statusOf("/look/9") == 200);
    UnboundedCaller caller(fixture.context, bytes);
    caller.start(fixture.address);
    // Other callers are served concurrently, each within 700 ms.
    for (int i = 0; i < 8; ++i) {
        const Instant began = clockNow();
        CHECK(fixture.statusOf("/look/9") == 200);
        CHECK(clockNow() - began < milliseconds(700));
        fixture.runFor(milliseconds(100));
    }
    fixture.runFor(milliseconds(2500));

    CHECK(caller.answer.starts_with("HTTP/1.1 " + status));
    // Covers the header limit, one buffer, the bytes dropped after the answer and the sockets'
    // buffers.
    CHECK(caller.sent < (8u << 20) + (2u << 20));
    REQUIRE(caller.endedAfter);
    // Covers the time limit for a request's arrival and the time limit of an answered request.
    CHECK(*caller.endedAfter < milliseconds(1800));
    CHECK(caller.closed);
    int forwarded = 0;
    for (const auto &request : fixture.first.received)
        forwarded += request.target == "/take/1" ? 1 : 0;
    CHECK(forwarded == (isForwarded ? 1 : 0));
}
