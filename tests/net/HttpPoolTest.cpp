// Tests of the client's pool of idle connections.
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <doctest/doctest.h>

using namespace tray;
namespace asio = boost::asio;

namespace {

/// Calls a server with several requests at once, and waits for their answers.
void callAtOnce(asio::io_context &context, HttpClient &client, const Address &address, int requests)
{
    int left = requests;
    for (int i = 0; i < requests; ++i)
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                HttpRequest request;
                request.target = "/";
                const auto answer =
                    co_await client.request(address, std::move(request), std::chrono::seconds(5));
                CHECK(isOk(answer));
                if (--left == 0)
                    context.stop();
            },
            asio::detached);
    context.restart();
    context.run_for(std::chrono::seconds(10));
    REQUIRE(left == 0);
}

} // namespace

TEST_CASE("Connections to servers that are called no more are not kept open")
{
    asio::io_context context;
    std::deque<HttpServer> servers;
    HttpClient client(context);
    const auto startServer = [&]() -> Address {
        auto &server = servers.emplace_back(
            context, [](HttpRequest, HttpResponder &responder) -> asio::awaitable<void> {
                HttpResponse answer = makeResponse(200, "text/plain", "fine");
                co_await responder.respond(std::move(answer));
            });
        return value(server.listen({"127.0.0.1", 0}));
    };
    SUBCASE("for longer than a call would use them")
    {
        for (int i = 0; i < 5; ++i)
            callAtOnce(context, client, startServer(), 8);
        CHECK(client.pooled() == 40);
        context.restart();
        context.run_for(MaxPooledIdleTime);
        callAtOnce(context, client, startServer(), 1);
        CHECK(client.pooled() == 1);
    }
    SUBCASE("beyond a bound over all of them")
    {
        for (int i = 0; i < 20; ++i)
            callAtOnce(context, client, startServer(), 64);
        CHECK(client.pooled() == 1024);
    }
}
