// Tests of the client's pool of idle connections.
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "net/SentCalls.h"

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

TEST_CASE("A call does not use a connection that has carried its id")
{
    asio::io_context context;
    int answered = 0;
    HttpServer server(context, [&](HttpRequest, HttpResponder &responder) -> asio::awaitable<void> {
        ++answered;
        HttpResponse answer = makeResponse(200, "text/plain", "fine");
        co_await responder.respond(std::move(answer));
    });
    const Address address = value(server.listen({"127.0.0.1", 0}));
    HttpClient client(context);
    // Calls the server and returns the connection that the call used.
    const auto call = [&](uint64_t callDigest) {
        ConnectionUse use;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                HttpRequest request;
                request.target = "/";
                HttpCallOptions options;
                options.callDigest = callDigest;
                auto opened = co_await client.open(address, std::move(request),
                                                   std::chrono::seconds(5), options);
                REQUIRE(isOk(opened));
                use = value(opened)->connectionUse();
                while (true) {
                    const auto piece = co_await value(opened)->read(std::chrono::seconds(5));
                    if (!isOk(piece) || value(piece).empty())
                        break;
                }
                value(opened).reset();
                context.stop();
            },
            asio::detached);
        context.restart();
        context.run_for(std::chrono::seconds(10));
        return use;
    };

    const uint64_t first = call(1).connection;
    SUBCASE("but another one, which it may share with other calls")
    {
        CHECK(call(2).connection == first);
        const auto again = call(1);
        CHECK(again.connection != first);
        CHECK_FALSE(again.hasCarriedId);
        CHECK(again.wasIdSentBefore);
        CHECK(call(3).connection == again.connection);
        // The first connection has carried the second id, the other one has not.
        CHECK(call(2).connection == again.connection);
        CHECK(client.dialled() == 2);
    }
    SUBCASE("and calls without an id share connections")
    {
        CHECK(call(0).connection == first);
        CHECK(call(0).connection == first);
    }
    SUBCASE("however many calls there were")
    {
        for (uint64_t id = 2; id <= 2000; ++id)
            CHECK_FALSE(call(id).hasCarriedId);
        for (uint64_t id = 2000; id > 1000; --id)
            CHECK_FALSE(call(id).hasCarriedId);
        CHECK(client.dialled() < 100);
    }
    SUBCASE("and no connection is used that may have carried a call that is forgotten")
    {
        for (uint64_t id = 2; id <= SentCalls::MaxCalls; ++id)
            REQUIRE(call(id).connection == first);
        CHECK(call(SentCalls::MaxCalls + 1).connection == first);
        const auto again = call(1);
        CHECK(again.connection != first);
        CHECK_FALSE(again.wasIdSentBefore);
        CHECK(call(SentCalls::MaxCalls).wasIdSentBefore);
    }
}
