// Tests of the memory that the bodies of requests hold: of a server that takes it from a budget,
// and of a client.
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "support/HeldMemory.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace tray;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr size_t LargeBytes = 4 * MemoryBudget::SmallBodyBytes;
// Large bodies may use half of the budget, which is one large body.
constexpr size_t BudgetBytes = 2 * LargeBytes;

std::string makeRequest(const std::string &target, const std::string &body, bool isChunked)
{
    const std::string head = "POST " + target + " HTTP/1.1\r\nHost: a\r\n";
    if (!isChunked)
        return head + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    const size_t half = body.size() / 2;
    return head +
           fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                       half, body.substr(0, half), body.size() - half, body.substr(half));
}

/// A server with a budget. Its handler waits for the given time at "/slow" and returns the number
/// of bytes of the body.
class BudgetServer
{
public:
    BudgetServer()
    {
        const auto bound = this->server.listen({"127.0.0.1", 0});
        REQUIRE(isOk(bound));
        this->address = value(bound);
    }

    /// A connection to the server.
    struct Caller
    {
        explicit Caller(BudgetServer &server) : socket(server.context)
        {
            this->socket.connect(
                {asio::ip::make_address(server.address.host), server.address.port});
        }

        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        /// Statuses of the answers, 0 for the end of the connection.
        std::vector<int> statuses;
        std::vector<std::string> bodies;
    };

    /// Sends bytes and reads the answers to them.
    void send(Caller &caller, std::string bytes, int answers = 1)
    {
        asio::co_spawn(
            this->context,
            [&caller, bytes = std::move(bytes), answers]() -> asio::awaitable<void> {
                co_await asio::async_write(caller.socket, asio::buffer(bytes), Await);
                for (int i = 0; i < answers; ++i) {
                    http::response<http::string_body> answer;
                    const auto [code, size] =
                        co_await http::async_read(caller.socket, caller.buffer, answer, Await);
                    caller.statuses.push_back(code ? 0 : static_cast<int>(answer.result_int()));
                    caller.bodies.push_back(answer.body());
                }
            },
            asio::detached);
    }

    void runFor(Duration duration)
    {
        this->context.restart();
        this->context.run_for(duration);
    }

    asio::io_context context;
    MemoryBudget budget{BudgetBytes};
    std::vector<ErrorKind> refusals;
    std::vector<std::string> handled;
    Address address;
    HttpServer server{
        context,
        [this](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
            this->handled.push_back(request.target);
            if (request.target == "/slow") {
                asio::steady_timer timer(this->context, milliseconds(500));
                co_await timer.async_wait(Await);
            }
            HttpResponse answer =
                makeResponse(200, "text/plain", std::to_string(request.body.size()));
            co_await responder.respond(std::move(answer));
        },
        {.bodyBytes = 2 * LargeBytes, .requestTimeout = milliseconds(800)},
        [this](const Error &reason) {
            this->refusals.push_back(reason.kind);
            return makeResponse(errorAnswer(reason.kind).httpStatus, "text/plain", "");
        },
        &budget};
};

} // namespace

TEST_CASE("A server bounds the memory of the bodies of requests")
{
    bool isChunked = false;
    SUBCASE("of known length") {}
    SUBCASE("in chunks")
    {
        isChunked = true;
    }
    CAPTURE(isChunked);
    BudgetServer fixture;
    const std::string large(LargeBytes, 'b');
    BudgetServer::Caller first(fixture);
    fixture.send(first, makeRequest("/slow", large, isChunked));
    fixture.runFor(milliseconds(200));
    REQUIRE(fixture.handled.size() == 1);
    CHECK(fixture.budget.usedBytes() == LargeBytes);
    // While the first one is handled, another large one is refused, and its connection stays usable
    // for the small one that follows at once.
    BudgetServer::Caller second(fixture);
    fixture.send(
        second, makeRequest("/refused", large, isChunked) + makeRequest("/small", "abc", isChunked),
        2);
    fixture.runFor(milliseconds(200));
    CHECK(second.statuses == std::vector<int>{503, 200});
    CHECK(fixture.refusals == std::vector<ErrorKind>{ErrorKind::OutOfMemory});
    CHECK(fixture.handled == std::vector<std::string>{"/slow", "/small"});
    CHECK(fixture.budget.usedBytes() == LargeBytes);
    fixture.runFor(milliseconds(300));
    CHECK(first.statuses == std::vector<int>{200});
    CHECK(first.bodies == std::vector<std::string>{std::to_string(LargeBytes)});
    CHECK(fixture.budget.usedBytes() == 0);
    // The memory of the first one is free again.
    fixture.send(second, makeRequest("/again", large, isChunked));
    fixture.runFor(milliseconds(200));
    CHECK(second.statuses == std::vector<int>{503, 200, 200});
    CHECK(fixture.budget.usedBytes() == 0);
}

TEST_CASE("A refused body that does not arrive in time closes its connection")
{
    BudgetServer fixture;
    const std::string large(LargeBytes, 'b');
    BudgetServer::Caller first(fixture);
    const std::string head =
        fmt::format("POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", LargeBytes);
    fixture.send(first, head);
    fixture.runFor(milliseconds(100));
    BudgetServer::Caller second(fixture);
    fixture.send(second, head + "part", 2);
    fixture.runFor(milliseconds(1200));
    // The first one had its memory, so that only its own time was over.
    CHECK(first.statuses == std::vector<int>{408});
    CHECK(second.statuses == std::vector<int>{503, 0});
    CHECK(fixture.handled.empty());
    CHECK(fixture.budget.usedBytes() == 0);
}

TEST_CASE("A body in chunks above the limit is refused as too large, whether or not it is kept")
{
    BudgetServer fixture;
    BudgetServer::Caller caller(fixture);
    fixture.send(caller, makeRequest("/large", std::string(2 * LargeBytes + 1, 'b'), true));
    fixture.runFor(milliseconds(200));
    CHECK(caller.statuses == std::vector<int>{413});
    CHECK(fixture.handled.empty());
    CHECK(fixture.budget.usedBytes() == 0);
}

TEST_CASE("A client does not keep the body of a request while it waits for the answer")
{
    // Allocations of this size are returned to the system when they are freed.
    constexpr size_t BodyBytes = 64u << 20;
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    size_t received = 0;
    bool isAnswered = false;
    std::vector<char> room(64u << 10);
    const size_t before = test::heldBytes();
    size_t waiting = 0;
    const auto serve = [&]() -> asio::awaitable<void> {
        auto [code, socket] = co_await acceptor.async_accept(Await);
        while (!code && received < BodyBytes) {
            const auto [readCode, size] =
                co_await socket.async_read_some(asio::buffer(room), Await);
            code = readCode;
            received += size;
        }
        asio::steady_timer timer(context, milliseconds(300));
        co_await timer.async_wait(Await);
        waiting = test::heldBytes();
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(answer), Await);
        co_await socket.async_read_some(asio::buffer(room), Await);
    };
    const auto call = [&]() -> asio::awaitable<void> {
        HttpClient client(context);
        const Address address{"127.0.0.1", acceptor.local_endpoint().port()};
        HttpRequest request;
        request.method = "POST";
        request.target = "/";
        request.body = std::string(BodyBytes, 'b');
        auto opened = co_await client.open(address, std::move(request), std::chrono::seconds(10));
        isAnswered = isOk(opened) && value(opened)->status() == 200;
    };
    asio::co_spawn(context, serve, asio::detached);
    asio::co_spawn(context, call, asio::detached);
    context.run_for(std::chrono::seconds(15));
    CHECK(isAnswered);
    CHECK(received >= BodyBytes);
    CHECK(waiting > 0);
    CHECK(waiting < before + BodyBytes / 4);
}
