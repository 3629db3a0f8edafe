// A store and an engine's report whose bytes never end, over real sockets.
#include "EngineClient.h"
#include "StoreClient.h"
#include "StoreStandIn.h"
#include "UpstreamStandIn.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace tray;
using namespace tray::platform;
using namespace tray::test;
namespace asio = boost::asio;

namespace {

// What sockets hold on both sides.
constexpr size_t SocketBytes = 8u << 20;

/// An answer that does not end, and the most of it that its reader may take.
struct EndlessAnswer
{
    UpstreamReply reply;
    size_t most = HttpClient::MaxHeadBytes + SocketBytes;
};

/// One subcase for each place in an answer.
EndlessAnswer endlessAnswer()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(4096, '1');
    EndlessAnswer answer;
    auto &[reply, most] = answer;
    SUBCASE("before any status line")
    {
        reply.endless = filler;
    }
    SUBCASE("in the status line")
    {
        reply.bytes = "HTTP/1.1 200 ";
        reply.endless = filler;
    }
    SUBCASE("in one header")
    {
        reply.bytes = head + "X-Long: ";
        reply.endless = filler;
    }
    SUBCASE("in headers")
    {
        reply.bytes = head;
        reply.endless = "X-More: " + filler + "\r\n";
    }
    SUBCASE("in a chunk's size")
    {
        reply.bytes = chunked;
        reply.endless = std::string(4096, '0');
    }
    SUBCASE("in a chunk's extension")
    {
        reply.bytes = chunked + "5;a=";
        reply.endless = filler;
    }
    SUBCASE("in trailers")
    {
        reply.bytes = chunked + "2\r\n{}\r\n0\r\n";
        reply.endless = "X-More: " + filler + "\r\n";
    }
    SUBCASE("in a body of chunks")
    {
        reply.bytes = chunked;
        reply.endless = UpstreamStandIn::chunkOf(filler);
        most = HttpClient::MaxBodyBytes + SocketBytes;
    }
    SUBCASE("in a body without a length")
    {
        reply.bytes = head + "\r\n";
        reply.endless = filler;
        most = HttpClient::MaxBodyBytes + SocketBytes;
    }
    return answer;
}

/// Runs a call to a peer that sends without end, and calls to a healthy store meanwhile.
template <typename Call>
void runBesideOthers(asio::io_context &context, HttpClient &http, Call call)
{
    StoreStandIn healthy(context);
    StoreClient others(http, healthy.listen());
    bool ended = false;
    int served = 0;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            co_await call();
            ended = true;
        },
        asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (bool goesOn = true; goesOn; goesOn = !ended) {
                const auto reading = co_await others.readUpstreams();
                served += isOk(reading) ? 1 : 0;
            }
            context.stop();
        },
        asio::detached);
    context.restart();
    context.run_for(std::chrono::seconds(6));
    CHECK(ended);
    CHECK(served > 0);
    context.restart();
    context.run_for(milliseconds(100));
}

/// The peer notices that its connection has gone.
void checkGone(asio::io_context &context, const UpstreamStandIn &peer, size_t most)
{
    CHECK(peer.endlessBytes < most);
    const size_t taken = peer.endlessBytes;
    context.restart();
    context.run_for(milliseconds(200));
    CHECK(peer.endlessBytes == taken);
}

} // namespace

TEST_CASE("Bytes without end from the store end one call, and little of them is kept")
{
    const EndlessAnswer answer = endlessAnswer();
    asio::io_context context;
    HttpClient http(context);
    UpstreamStandIn peer(context, [&](const HttpRequest &) { return answer.reply; });
    StoreClient store(http, peer.listen());
    const Instant began = clockNow();
    runBesideOthers(context, http, [&]() -> asio::awaitable<void> {
        const auto reading = co_await store.readConfig();
        CHECK(clockNow() - began < milliseconds(2000));
        CHECK_FALSE(isOk(reading));
        if (!isOk(reading))
            CHECK(error(reading).kind == ErrorKind::PlatformUnavailable);
    });
    checkGone(context, peer, answer.most);
}

TEST_CASE("Bytes without end after an answer of the store belong to no call")
{
    asio::io_context context;
    HttpClient http(context);
    UpstreamReply reply;
    reply.bytes = "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}";
    reply.endless = std::string(4096, '1');
    UpstreamStandIn peer(context, [&](const HttpRequest &) { return reply; });
    StoreClient store(http, peer.listen());
    runBesideOthers(context, http, [&]() -> asio::awaitable<void> {
        for (int i = 0; i < 3; ++i) {
            const auto reading = co_await store.readConfig();
            CHECK_FALSE(isOk(reading));
            if (!isOk(reading))
                CHECK(error(reading).kind == ErrorKind::NotFound);
        }
    });
    checkGone(context, peer, 3 * (HttpClient::MaxHeadBytes + SocketBytes));
}

TEST_CASE("Bytes without end in an engine's report end one call, and little of them is kept")
{
    const EndlessAnswer answer = endlessAnswer();
    asio::io_context context;
    HttpClient http(context);
    UpstreamStandIn peer(context, [&](const HttpRequest &) { return answer.reply; });
    EngineClient engine(http, peer.listen());
    const Instant began = clockNow();
    runBesideOthers(context, http, [&]() -> asio::awaitable<void> {
        const auto report = co_await engine.report();
        CHECK(clockNow() - began < milliseconds(900));
        CHECK_FALSE(isOk(report));
    });
    checkGone(context, peer, answer.most);
}
