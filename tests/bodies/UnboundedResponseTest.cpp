// Limits on responses without end of the store and of an engine's report, over real sockets: one
// call fails, few of the bytes are kept, and other calls go on.
#include "EngineClient.h"
#include "StoreClient.h"
#include "StubStore.h"
#include "StubUpstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace tray;
using namespace tray::platform;
using namespace tray::test;
namespace asio = boost::asio;

namespace {

// Bytes that the sockets' buffers hold on both sides.
constexpr size_t SocketBufferBytes = 8u << 20;

/// Response without end, and the maximum number of its bytes that the client may read.
struct UnboundedResponse
{
    StubReply reply;
    size_t maxBytesRead = HttpClient::MaxHeadBytes + SocketBufferBytes;
};

/// Provides one subcase for each part of a response that can be without end.
UnboundedResponse unboundedResponse()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(4096, '1');
    UnboundedResponse answer;
    auto &[reply, maxBytesRead] = answer;
    SUBCASE("before any status line")
    {
        reply.repeatedBytes = filler;
    }
    SUBCASE("in the status line")
    {
        reply.bytes = "HTTP/1.1 200 ";
        reply.repeatedBytes = filler;
    }
    SUBCASE("in one header")
    {
        reply.bytes = head + "X-Long: ";
        reply.repeatedBytes = filler;
    }
    SUBCASE("in headers")
    {
        reply.bytes = head;
        reply.repeatedBytes = "X-More: " + filler + "\r\n";
    }
    SUBCASE("in a chunk's size")
    {
        reply.bytes = chunked;
        reply.repeatedBytes = std::string(4096, '0');
    }
    SUBCASE("in a chunk's extension")
    {
        reply.bytes = chunked + "5;a=";
        reply.repeatedBytes = filler;
    }
    SUBCASE("in trailers")
    {
        reply.bytes = chunked + "2\r\n{}\r\n0\r\n";
        reply.repeatedBytes = "X-More: " + filler + "\r\n";
    }
    SUBCASE("in a chunked body")
    {
        reply.bytes = chunked;
        reply.repeatedBytes = StubUpstream::encodeChunk(filler);
        maxBytesRead = HttpClient::MaxBodyBytes + SocketBufferBytes;
    }
    SUBCASE("in a body without a length")
    {
        reply.bytes = head + "\r\n";
        reply.repeatedBytes = filler;
        maxBytesRead = HttpClient::MaxBodyBytes + SocketBufferBytes;
    }
    return answer;
}

/// Runs a call to a peer that sends without end, and calls to a healthy store concurrently.
template <typename Call>
void runWithConcurrentCalls(asio::io_context &context, HttpClient &http, Call call)
{
    StubStore healthy(context);
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

/// Checks that the client read few bytes and that the peer's connection is closed.
void checkPeerClosed(asio::io_context &context, const StubUpstream &peer, size_t maxBytesRead)
{
    CHECK(peer.repeatedBytesSent < maxBytesRead);
    const size_t taken = peer.repeatedBytesSent;
    context.restart();
    context.run_for(milliseconds(200));
    CHECK(peer.repeatedBytesSent == taken);
}

} // namespace

TEST_CASE("A store response without end fails one call, and few of its bytes are kept")
{
    const UnboundedResponse answer = unboundedResponse();
    asio::io_context context;
    HttpClient http(context);
    StubUpstream peer(context, [&](const HttpRequest &) { return answer.reply; });
    StoreClient store(http, peer.listen());
    const Instant began = clockNow();
    runWithConcurrentCalls(context, http, [&]() -> asio::awaitable<void> {
        const auto reading = co_await store.readConfig();
        CHECK(clockNow() - began < milliseconds(2000));
        CHECK_FALSE(isOk(reading));
        if (!isOk(reading))
            CHECK(error(reading).kind == ErrorKind::PlatformUnavailable);
    });
    checkPeerClosed(context, peer, answer.maxBytesRead);
}

TEST_CASE("Bytes without end after a store response are attributed to no call")
{
    asio::io_context context;
    HttpClient http(context);
    StubReply reply;
    reply.bytes = "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}";
    reply.repeatedBytes = std::string(4096, '1');
    StubUpstream peer(context, [&](const HttpRequest &) { return reply; });
    StoreClient store(http, peer.listen());
    runWithConcurrentCalls(context, http, [&]() -> asio::awaitable<void> {
        for (int i = 0; i < 3; ++i) {
            const auto reading = co_await store.readConfig();
            CHECK_FALSE(isOk(reading));
            if (!isOk(reading))
                CHECK(error(reading).kind == ErrorKind::NotFound);
        }
    });
    checkPeerClosed(context, peer, 3 * (HttpClient::MaxHeadBytes + SocketBufferBytes));
}

TEST_CASE("An engine's report without end fails one call, and few of its bytes are kept")
{
    const UnboundedResponse answer = unboundedResponse();
    asio::io_context context;
    HttpClient http(context);
    StubUpstream peer(context, [&](const HttpRequest &) { return answer.reply; });
    EngineClient engine(http, peer.listen());
    const Instant began = clockNow();
    runWithConcurrentCalls(context, http, [&]() -> asio::awaitable<void> {
        const auto report = co_await engine.report();
        CHECK(clockNow() - began < milliseconds(900));
        CHECK_FALSE(isOk(report));
    });
    checkPeerClosed(context, peer, answer.maxBytesRead);
}
