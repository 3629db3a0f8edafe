// Link faults of the relay stand-in: delay, shared bandwidth, cut, and silence, in which open
// connections transfer no data.
#include "Relay.h"

#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace tray;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

const Address AnyPort{"127.0.0.1", 0};

/// An echo server behind a relay, and a client that sends its requests through the relay.
struct RelayFixture
{
    RelayFixture()
        : server(this->context,
                 [](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
                     co_await responder.respond(makeResponse(200, "text/plain", request.body));
                 }),
          client(this->context), relay(this->context, this->link, this->metrics)
    {
        const auto target = value(this->server.listen(AnyPort));
        this->address = value(this->relay.forward(AnyPort, target));
    }

    Result<HttpResponse> call(std::string body, Duration timeout = std::chrono::seconds(5))
    {
        std::optional<Result<HttpResponse>> result;
        HttpRequest request;
        request.method = "POST";
        request.body = std::move(body);
        asio::co_spawn(this->context, this->client.request(this->address, request, timeout),
                       [&](const std::exception_ptr &, Result<HttpResponse> answer) {
                           result = std::move(answer);
                           this->context.stop();
                       });
        this->context.restart();
        this->context.run_for(std::chrono::seconds(20));
        return *result;
    }

    Duration measureCall(const std::string &body)
    {
        const auto begin = std::chrono::steady_clock::now();
        REQUIRE(isOk(this->call(body)));
        return std::chrono::steady_clock::now() - begin;
    }

    asio::io_context context;
    proto::RelaySection link;
    Metrics metrics;
    HttpServer server;
    HttpClient client;
    Relay relay;
    Address address;
};

/// What one end of a connection has read, and the error with which reading ended.
struct ReadToEnd
{
    std::string data;
    boost::system::error_code end;
};

/// One end sends bytes through a relay and ends the connection, the other one reads.
struct EndingConnection
{
    explicit EndingConnection(bool clientEnds)
        : clientEnds(clientEnds), relay(this->context, this->link, this->metrics),
          acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          address(value(
              this->relay.forward(AnyPort, {"127.0.0.1", this->acceptor.local_endpoint().port()})))
    {}

    ReadToEnd run(bool isReset)
    {
        ReadToEnd reading;
        asio::co_spawn(this->context, this->serve(isReset, reading), asio::detached);
        asio::co_spawn(this->context, this->connect(isReset, reading), asio::detached);
        this->context.run_for(std::chrono::seconds(5));
        return reading;
    }

    asio::awaitable<void> serve(bool isReset, ReadToEnd &reading)
    {
        auto [code, socket] = co_await this->acceptor.async_accept(Await);
        REQUIRE(!code);
        co_await this->use(std::move(socket), !this->clientEnds, isReset, reading);
    }

    asio::awaitable<void> connect(bool isReset, ReadToEnd &reading)
    {
        tcp::socket socket(this->context);
        const tcp::endpoint endpoint(asio::ip::make_address(this->address.host),
                                     this->address.port);
        const auto [code] = co_await socket.async_connect(endpoint, Await);
        REQUIRE(!code);
        co_await this->use(std::move(socket), this->clientEnds, isReset, reading);
    }

    asio::awaitable<void> use(tcp::socket socket, bool ends, bool isReset, ReadToEnd &reading)
    {
        if (!ends) {
            const auto [code, size] =
                co_await asio::async_read(socket, asio::dynamic_buffer(reading.data), Await);
            reading.end = code;
            this->context.stop();
            co_return;
        }
        co_await asio::async_write(socket, asio::buffer(std::string_view("part")), Await);
        // The relay reads the bytes before the connection ends.
        asio::steady_timer timer(this->context, milliseconds(50));
        co_await timer.async_wait(Await);
        if (isReset)
            socket.set_option(asio::socket_base::linger(true, 0));
        // The destructor alone would end it orderly.
        socket.close();
    }

    const bool clientEnds;
    asio::io_context context;
    proto::RelaySection link;
    Metrics metrics;
    Relay relay;
    tcp::acceptor acceptor;
    const Address address;
};

} // namespace

TEST_CASE("A connection ends at the other side of the relay as it has ended at the first one")
{
    // Guards against a reset that arrives as an orderly end: an answer without a length would look
    // complete.
    bool clientEnds = false;
    SUBCASE("the server")
    {
        clientEnds = false;
    }
    SUBCASE("the client")
    {
        clientEnds = true;
    }
    CAPTURE(clientEnds);
    for (const bool isReset : {false, true}) {
        CAPTURE(isReset);
        const auto reading = EndingConnection(clientEnds).run(isReset);
        CHECK(reading.data == "part");
        if (isReset)
            CHECK(reading.end == asio::error::connection_reset);
        else
            CHECK(reading.end == asio::error::eof);
    }
}

TEST_CASE("A link delays data and limits the bandwidth")
{
    const Instant start{};
    SUBCASE("each chunk is delivered after its transmission time and the delay")
    {
        RelayLink link(milliseconds(30), 8000);
        CHECK(link.transmit(100, start) == start + milliseconds(130));
        CHECK(link.transmit(100, start) == start + milliseconds(230));
        CHECK(link.transmit(100, start + std::chrono::seconds(1)) == start + milliseconds(1130));
    }
    SUBCASE("without a bandwidth limit, only the delay applies")
    {
        RelayLink link(milliseconds(30), 0);
        CHECK(link.transmit(1000000, start) == start + milliseconds(30));
    }
}

TEST_CASE("Connections are forwarded by the relay")
{
    RelayFixture fixture;
    SUBCASE("a large body arrives complete")
    {
        const std::string body(900000, 'b');
        const auto answer = fixture.call(body);
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == body);
        CHECK(fixture.metrics.counter("relay_bytes_total", "direction=\"outward\"").get() > 900000);
    }
    SUBCASE("the delay applies in each direction")
    {
        REQUIRE(isOk(fixture.relay.applyFault(R"({"latency_ms":40})")));
        fixture.measureCall("a");
        CHECK(fixture.measureCall("a") >= milliseconds(80));
    }
    SUBCASE("a cut link refuses connections until the cut ends")
    {
        REQUIRE(isOk(fixture.call("a")));
        REQUIRE(isOk(fixture.relay.applyFault(R"({"cut":true})")));
        CHECK(!isOk(fixture.call("a", milliseconds(500))));
        CHECK(fixture.relay.connections() == 0);
        REQUIRE(isOk(fixture.relay.applyFault(R"({"cut":false})")));
        CHECK(isOk(fixture.call("a")));
    }
    SUBCASE("silence stalls open connections but not new ones")
    {
        REQUIRE(isOk(fixture.call("a")));
        REQUIRE(isOk(fixture.relay.applyFault(R"({"silence":true})")));
        const auto stalled = fixture.call("a", milliseconds(200));
        REQUIRE(!isOk(stalled));
        CHECK(error(stalled).kind == ErrorKind::Timeout);
        CHECK(isOk(fixture.call("a")));
    }
    SUBCASE("an unknown fault is rejected")
    {
        CHECK(!isOk(fixture.relay.applyFault(R"({"sielnce":true})")));
    }
}
