// The relay stand-in: delay, shared bandwidth, cut and silence.
#include "Relay.h"

#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>

using namespace tray;
namespace asio = boost::asio;

namespace {

const Address AnyPort{"127.0.0.1", 0};

/// A server behind a relay, and a client that calls through it.
struct Rig
{
    Rig()
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

    Duration time(const std::string &body)
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

} // namespace

TEST_CASE("A link delays and limits what passes")
{
    const Instant start{};
    SUBCASE("each piece leaves after its share of the bandwidth and the delay")
    {
        RelayLink link(milliseconds(30), 8000);
        CHECK(link.transmit(100, start) == start + milliseconds(130));
        CHECK(link.transmit(100, start) == start + milliseconds(230));
        CHECK(link.transmit(100, start + std::chrono::seconds(1)) == start + milliseconds(1130));
    }
    SUBCASE("without a limit only the delay counts")
    {
        RelayLink link(milliseconds(30), 0);
        CHECK(link.transmit(1000000, start) == start + milliseconds(30));
    }
}

TEST_CASE("Connections pass through the relay")
{
    Rig rig;
    SUBCASE("a large body arrives whole")
    {
        const std::string body(900000, 'b');
        const auto answer = rig.call(body);
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == body);
        CHECK(rig.metrics.counter("relay_bytes_total", "direction=\"outward\"").get() > 900000);
    }
    SUBCASE("the delay counts each way")
    {
        REQUIRE(isOk(rig.relay.applyFault(R"({"latency_ms":40})")));
        rig.time("a");
        CHECK(rig.time("a") >= milliseconds(80));
    }
    SUBCASE("a cut link refuses, and works again once the cut ends")
    {
        REQUIRE(isOk(rig.call("a")));
        REQUIRE(isOk(rig.relay.applyFault(R"({"cut":true})")));
        CHECK(!isOk(rig.call("a", milliseconds(500))));
        CHECK(rig.relay.connections() == 0);
        REQUIRE(isOk(rig.relay.applyFault(R"({"cut":false})")));
        CHECK(isOk(rig.call("a")));
    }
    SUBCASE("silence holds open connections and spares new ones")
    {
        REQUIRE(isOk(rig.call("a")));
        REQUIRE(isOk(rig.relay.applyFault(R"({"silence":true})")));
        const auto held = rig.call("a", milliseconds(200));
        REQUIRE(!isOk(held));
        CHECK(error(held).kind == ErrorKind::Timeout);
        CHECK(isOk(rig.call("a")));
    }
    SUBCASE("an unknown fault is refused")
    {
        CHECK(!isOk(rig.relay.applyFault(R"({"sielnce":true})")));
    }
}
