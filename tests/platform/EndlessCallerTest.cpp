// Callers whose bytes never end, over real sockets.
#include "GatewayPath.h"

using namespace tray;
using namespace tray::platform;
using namespace tray::test;
namespace asio = boost::asio;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// What one caller sends.
struct CallerBytes
{
    std::string first;
    /// Sent again and again after the first bytes, until the gateway closes.
    std::string endless;
    /// Time between two of these pieces.
    Duration pause{};
};

/// Sends without end and reads all that comes back.
class EndlessCaller
{
public:
    // Bytes and time after which the caller gives up, so that a test ends.
    static constexpr size_t MaxBytes = 64u << 20;
    static constexpr Duration MaxTime = std::chrono::seconds(6);

    EndlessCaller(asio::io_context &context, CallerBytes bytes)
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
    /// Time until the gateway ended its side.
    std::optional<Duration> endedAfter;
    /// The gateway has closed the connection whole.
    bool closed = false;

private:
    asio::awaitable<void> send()
    {
        asio::steady_timer timer(this->socket.get_executor());
        co_await asio::async_write(this->socket, asio::buffer(this->bytes.first), Await);
        while (this->sent < MaxBytes && clockNow() - this->began < MaxTime) {
            const auto [code, size] =
                co_await asio::async_write(this->socket, asio::buffer(this->bytes.endless), Await);
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
    CallerBytes bytes;
    Instant began;
};

} // namespace

TEST_CASE("Bytes without end from a caller end its connection, and little of them is kept")
{
    const std::string head = "POST /take/1 HTTP/1.1\r\nHost: a.example\r\n"
                             "Marjoramtray-Request-Id: r1\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(4096, '1');
    CallerBytes bytes;
    std::string status;
    bool runs = false;
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
        bytes.endless = "X-More: " + filler + "\r\n";
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
    SUBCASE("in a body of chunks")
    {
        bytes = {chunked, UpstreamStandIn::chunkOf(filler)};
        status = "413";
    }
    SUBCASE("in a header, a byte now and then")
    {
        bytes = {head + "X-Long: ", "1", milliseconds(50)};
        status = "408";
    }
    SUBCASE("in a body with a length, a byte now and then")
    {
        bytes = {head + "Content-Length: 5000\r\n\r\n", "1", milliseconds(50)};
        status = "408";
    }
    SUBCASE("after a request that is being answered")
    {
        bytes = {head + "Content-Length: 1\r\n\r\nx", filler};
        status = "200";
        runs = true;
    }
    SUBCASE("after a request that is being answered and is the last one")
    {
        bytes = {head + "Connection: close\r\nContent-Length: 1\r\n\r\nx", filler};
        status = "200";
        runs = true;
    }
    GatewayPath path([](const HttpRequest &request) {
        UpstreamReply reply{UpstreamStandIn::answerTo(request, 200, "first")};
        reply.delay = milliseconds(request.target == "/take/1" ? 300 : 0);
        return reply;
    });
    REQUIRE(path.statusOf("/look/9") == 200);
    EndlessCaller endless(path.context, bytes);
    endless.start(path.address);
    // Others are served meanwhile, each of them soon.
    for (int i = 0; i < 8; ++i) {
        const Instant began = clockNow();
        CHECK(path.statusOf("/look/9") == 200);
        CHECK(clockNow() - began < milliseconds(700));
        path.runFor(milliseconds(100));
    }
    path.runFor(milliseconds(2500));

    CHECK(endless.answer.starts_with("HTTP/1.1 " + status));
    // The header limit, a buffer, what is dropped after the answer, and what sockets hold.
    CHECK(endless.sent < (8u << 20) + (2u << 20));
    REQUIRE(endless.endedAfter);
    // The time limit of a request, and that of one that the upstream answers.
    CHECK(*endless.endedAfter < milliseconds(1800));
    CHECK(endless.closed);
    int taken = 0;
    for (const auto &request : path.first.received)
        taken += request.target == "/take/1" ? 1 : 0;
    CHECK(taken == (runs ? 1 : 0));
}
