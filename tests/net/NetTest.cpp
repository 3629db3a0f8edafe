// HTTP, frame and control channels over loopback.
#include "dataplane.pb.h"
#include "net/ControlClient.h"
#include "net/ControlServer.h"
#include "net/FrameChannel.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "net/Listener.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace tray;
namespace asio = boost::asio;

namespace {

const Address AnyPort{"127.0.0.1", 0};
constexpr std::array<size_t, 4> SizesSent = {0, 10, 100000, 3};

/// Built outside of the coroutine: g++ 12 rejects arrays of constants inside of one.
std::vector<std::string> twoTexts()
{
    return {"first", "second"};
}

/// Runs one coroutine to its end on a context that other tasks share.
void runOn(asio::io_context &context, asio::awaitable<void> task)
{
    asio::co_spawn(context, std::move(task), [&](const std::exception_ptr &failure) {
        context.stop();
        if (failure)
            std::rethrow_exception(failure);
    });
    context.run_for(std::chrono::seconds(20));
}

} // namespace

TEST_CASE("A client calls an HTTP server")
{
    asio::io_context context;
    HttpServer server(context,
                      [](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
                          if (request.target == "/echo") {
                              co_await responder.respond(
                                  makeResponse(200, "text/plain", request.body));
                              co_return;
                          }
                          co_await responder.start(200, contentType("text/event-stream"));
                          co_await responder.write("one,");
                          co_await responder.write("two");
                          if (request.target == "/whole")
                              co_await responder.finish();
                      },
                      {.headerBytes = 2048, .bodyBytes = 1000});
    const auto address = value(server.listen(AnyPort));
    HttpClient client(context);
    const auto call = [&](std::string method, std::string target, std::string body = "",
                          HttpHeaders headers = {}) {
        HttpRequest request{std::move(method), std::move(target), std::move(headers),
                            std::move(body)};
        return client.request(address, std::move(request), std::chrono::seconds(5));
    };
    SUBCASE("a body comes back whole, twice over one kept connection")
    {
        runOn(context, [&]() -> asio::awaitable<void> {
            const std::vector<std::string> texts = twoTexts();
            for (const auto &text : texts) {
                const auto result = co_await call("POST", "/echo", text);
                REQUIRE(isOk(result));
                CHECK(value(result).body == text);
            }
        }());
    }
    SUBCASE("a finished stream is whole, and a cut one is never taken for whole")
    {
        runOn(context, [&]() -> asio::awaitable<void> {
            const auto whole = co_await call("GET", "/whole");
            REQUIRE(isOk(whole));
            CHECK(value(whole).body == "one,two");
            const auto cut = co_await call("GET", "/cut");
            CHECK(!isOk(cut));
        }());
    }
    SUBCASE("oversized bodies and headers are refused with the right status")
    {
        runOn(context, [&]() -> asio::awaitable<void> {
            const auto body = co_await call("POST", "/echo", std::string(1001, 'x'));
            REQUIRE(isOk(body));
            CHECK(value(body).status == 413);
            HttpHeaders headers;
            headers.emplace_back("X-Long", std::string(4000, 'x'));
            const auto header = co_await call("GET", "/echo", "", headers);
            REQUIRE(isOk(header));
            CHECK(value(header).status == 431);
        }());
    }
    SUBCASE("a refused connection tells that nothing was sent")
    {
        runOn(context, [&]() -> asio::awaitable<void> {
            const Address closed{"127.0.0.1", 1};
            HttpRequest request;
            const auto result = co_await client.request(closed, request, std::chrono::seconds(1));
            REQUIRE(!isOk(result));
            CHECK(error(result).kind == ErrorKind::UpstreamUnreachable);
        }());
    }
}

TEST_CASE("A request whose handler throws")
{
    asio::io_context context;
    HttpServer server(context,
                      [](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
                          if (request.target == "/begun")
                              co_await responder.start(200, contentType("text/event-stream"));
                          throw std::runtime_error("nobody thought of this");
                      });
    const auto address = value(server.listen(AnyPort));
    HttpClient client(context);
    SUBCASE("gets a final answer that promises nothing, and so does the next one")
    {
        runOn(context, [&]() -> asio::awaitable<void> {
            for (int i = 0; i < 2; ++i) {
                HttpRequest request{"GET", "/", {}, ""};
                const auto answer =
                    co_await client.request(address, std::move(request), std::chrono::seconds(5));
                REQUIRE(isOk(answer));
                CHECK(value(answer).status == 500);
            }
        }());
    }
    SUBCASE("is cut if its answer has begun")
    {
        runOn(context, [&]() -> asio::awaitable<void> {
            HttpRequest request{"GET", "/begun", {}, ""};
            const auto answer =
                co_await client.request(address, std::move(request), std::chrono::seconds(5));
            CHECK_FALSE(isOk(answer));
        }());
    }
}

TEST_CASE("A request that a caller sent during a stream is answered although the server drains")
{
    bool readEarly = false;
    SUBCASE("and it was read early")
    {
        readEarly = true;
    }
    SUBCASE("and it was not read yet") {}
    asio::io_context context;
    HttpServer server(
        context, [&](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
            if (request.target != "/stream") {
                co_await responder.respond(makeResponse(200, "text/plain", request.target));
                co_return;
            }
            if (readEarly)
                responder.onPeerGone([] {});
            co_await responder.start(200, contentType("text/event-stream"));
            asio::steady_timer timer(context, milliseconds(200));
            co_await timer.async_wait(asio::use_awaitable);
            co_await responder.finish();
        });
    const auto address = value(server.listen(AnyPort));
    std::string received;
    runOn(context, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket(context);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        co_await socket.async_connect(endpoint, asio::use_awaitable);
        const std::string first = "GET /stream HTTP/1.1\r\nHost: a.example\r\n\r\n";
        const std::string second = "GET /second HTTP/1.1\r\nHost: a.example\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(first), asio::use_awaitable);
        asio::steady_timer timer(context, milliseconds(50));
        co_await timer.async_wait(asio::use_awaitable);
        // The head of the answer has told that the connection stays.
        server.drain();
        co_await asio::async_write(socket, asio::buffer(second), asio::use_awaitable);
        boost::system::error_code ended;
        co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                  asio::redirect_error(asio::use_awaitable, ended));
    }());
    CHECK(received.find("/second") != std::string::npos);
    CHECK(server.isDrained());
}

TEST_CASE("A request that a caller sent before it was told of the close is answered")
{
    bool readEarly = false;
    SUBCASE("and it was read early")
    {
        readEarly = true;
    }
    SUBCASE("and it was not read yet") {}
    asio::io_context context;
    std::optional<HttpServer> server;
    server.emplace(context,
                   [&](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
                       if (request.target == "/first") {
                           if (readEarly)
                               responder.onPeerGone([] {});
                           asio::steady_timer timer(context, milliseconds(50));
                           co_await timer.async_wait(asio::use_awaitable);
                           server->beginLeaving();
                       }
                       co_await responder.respond(makeResponse(200, "text/plain", request.target));
                   });
    const auto address = value(server->listen(AnyPort));
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(address.host), address.port});
    for (const std::string target : {"/first", "/second"})
        asio::write(socket, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n"));
    context.run_for(milliseconds(200));
    std::string received;
    boost::system::error_code code;
    socket.non_blocking(true);
    asio::read(socket, asio::dynamic_buffer(received), code);
    CHECK(code == asio::error::eof);
    CHECK(received.ends_with("/second"));
    // The last answer alone tells of the close.
    CHECK(received.find("Connection: close") > received.find("/first"));
    CHECK(received.find("Connection: close") != std::string::npos);
}

TEST_CASE("A handler that threw does not hear that its peer leaves while its answer is written")
{
    asio::io_context context;
    bool running = false;
    bool calledAfterEnd = false;
    HttpServer server(
        context,
        [&](HttpRequest, HttpResponder &responder) -> asio::awaitable<void> {
            running = true;
            responder.onPeerGone([&] { calledAfterEnd = calledAfterEnd || !running; });
            running = false;
            throw std::runtime_error("nobody thought of this");
            co_return;
        },
        {},
        // Too long to be written at once to a peer that does not read.
        [](const Error &) { return makeResponse(500, "text/plain", std::string(32u << 20, 'x')); });
    const auto address = value(server.listen(AnyPort));
    runOn(context, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket(context);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        co_await socket.async_connect(endpoint, asio::use_awaitable);
        const std::string request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
        asio::steady_timer timer(context, milliseconds(100));
        co_await timer.async_wait(asio::use_awaitable);
        socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        timer.expires_after(milliseconds(200));
        co_await timer.async_wait(asio::use_awaitable);
    }());
    CHECK_FALSE(running);
    CHECK_FALSE(calledAfterEnd);
}

TEST_CASE("A call that is cancelled after its end leaves its kept connection to the next call")
{
    asio::io_context context;
    HttpServer server(
        context, [&](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
            if (request.target == "/slow") {
                asio::steady_timer timer(context, milliseconds(100));
                co_await timer.async_wait(asio::use_awaitable);
            }
            co_await responder.respond(makeResponse(200, "text/plain", request.target));
        });
    const auto address = value(server.listen(AnyPort));
    HttpClient client(context);
    HttpCallOptions options;
    options.cancel = std::make_shared<HttpCancel>();
    runOn(context, [&]() -> asio::awaitable<void> {
        {
            HttpRequest first{"GET", "/first", {}, ""};
            auto opened =
                co_await client.open(address, std::move(first), std::chrono::seconds(5), options);
            REQUIRE(isOk(opened));
            const auto body = co_await value(opened)->read(std::chrono::seconds(5));
            REQUIRE(isOk(body));
            const auto end = co_await value(opened)->read(std::chrono::seconds(5));
            REQUIRE(isOk(end));
        }
        asio::steady_timer late(context, milliseconds(50));
        late.async_wait([&](auto) { options.cancel->cancel(); });
        HttpRequest second{"GET", "/slow", {}, ""};
        const auto answer =
            co_await client.request(address, std::move(second), std::chrono::seconds(5));
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == "/slow");
        CHECK(client.dialled() == 1);
    }());
}

TEST_CASE("A request that was given up does not reach a peer that pauses and reads on later")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context);
    const asio::ip::tcp::endpoint loopback(asio::ip::make_address(AnyPort.host), 0);
    acceptor.open(loopback.protocol());
    acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    acceptor.bind(loopback);
    acceptor.listen();
    const Address address{AnyPort.host, acceptor.local_endpoint().port()};
    HttpClient client(context);
    const std::string body(100000, 'x');
    std::string received;
    runOn(context, [&]() -> asio::awaitable<void> {
        HttpCallOptions options;
        HttpRequest request{"POST", "/take", {}, body};
        SUBCASE("its time is over") {}
        SUBCASE("it was cancelled")
        {
            options.cancel = std::make_shared<HttpCancel>();
        }
        asio::steady_timer early(context, milliseconds(100));
        early.async_wait([&](auto) {
            if (options.cancel)
                options.cancel->cancel();
        });
        const auto opened =
            co_await client.open(address, std::move(request), milliseconds(200), options);
        REQUIRE_FALSE(isOk(opened));
        auto peer = co_await acceptor.async_accept(asio::use_awaitable);
        boost::system::error_code ended;
        co_await asio::async_read(peer, asio::dynamic_buffer(received),
                                  asio::redirect_error(asio::use_awaitable, ended));
    }());
    CHECK(received.size() < body.size());
}

TEST_CASE("A read whose time is over fails although more of the answer is ready")
{
    asio::io_context context;
    HttpServer server(context, [](HttpRequest, HttpResponder &responder) -> asio::awaitable<void> {
        co_await responder.start(200, contentType("text/plain"));
        std::string piece(100000, 'x');
        co_await responder.write(std::move(piece));
        co_await responder.finish();
    });
    const auto address = value(server.listen(AnyPort));
    HttpClient client(context);
    runOn(context, [&]() -> asio::awaitable<void> {
        HttpRequest request{"GET", "/", {}, ""};
        auto opened = co_await client.open(address, std::move(request), std::chrono::seconds(5));
        REQUIRE(isOk(opened));
        asio::steady_timer timer(context, milliseconds(100));
        co_await timer.async_wait(asio::use_awaitable);
        const auto first = co_await value(opened)->read(std::chrono::seconds(1));
        CHECK(isOk(first));
        const auto late = co_await value(opened)->read(milliseconds(-1));
        CHECK_FALSE(isOk(late));
    }());
}

TEST_CASE("A second answer to one request closes the connection instead of being sent")
{
    asio::io_context context;
    HttpServer server(context,
                      [](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
                          const HttpResponse late = makeResponse(200, "text/plain", "late");
                          if (request.target == "/stream") {
                              co_await responder.start(200, contentType("text/event-stream"));
                              co_await responder.write("one");
                          } else {
                              co_await responder.respond(makeResponse(200, "text/plain", "one"));
                          }
                          CHECK_FALSE(co_await responder.respond(late));
                      });
    const auto address = value(server.listen(AnyPort));
    std::string target;
    SUBCASE("after a stream has begun")
    {
        target = "/stream";
    }
    SUBCASE("after a whole answer, where the next caller would take it for its own")
    {
        target = "/whole";
    }
    std::string received;
    runOn(context, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket(context);
        co_await socket.async_connect({asio::ip::make_address(address.host), address.port},
                                      asio::use_awaitable);
        const std::string request = "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
        try {
            co_await asio::async_read(socket, asio::dynamic_buffer(received), asio::use_awaitable);
        } catch (const boost::system::system_error &) {
            // The connection was reset.
        }
    }());
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(received.find("late") == std::string::npos);
}

TEST_CASE("A drain answers what peers have sent before it")
{
    asio::io_context context;
    HttpServer server(
        context, [](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
            co_await responder.respond(makeResponse(200, "text/plain", request.target));
        });
    const auto address = value(server.listen(AnyPort));
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    const auto dial = [&] {
        asio::ip::tcp::socket socket(context);
        socket.connect(endpoint);
        return socket;
    };
    const auto ask = [](asio::ip::tcp::socket &socket) {
        asio::write(socket, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")));
    };
    const auto readAll = [](asio::ip::tcp::socket &socket) {
        std::string text;
        boost::system::error_code code;
        asio::read(socket, asio::dynamic_buffer(text), code);
        return text;
    };
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < 20; ++i)
        sockets.push_back(dial());

    SUBCASE("on connections that were not accepted yet")
    {
        for (auto &socket : sockets)
            ask(socket);
        server.drain();
        context.run_for(milliseconds(500));
        CHECK(server.isDrained());
        for (auto &socket : sockets)
            CHECK(readAll(socket).find("200 OK") != std::string::npos);
    }
    SUBCASE("on connections that were waiting for a request")
    {
        context.run_for(milliseconds(50));
        for (auto &socket : sockets)
            ask(socket);
        server.drain();
        context.restart();
        context.run_for(milliseconds(500));
        CHECK(server.isDrained());
        for (auto &socket : sockets)
            CHECK(readAll(socket).find("200 OK") != std::string::npos);
    }
    SUBCASE("also if the first request on a new connection comes a moment later")
    {
        context.run_for(milliseconds(50));
        server.drain();
        context.restart();
        context.run_for(milliseconds(50));
        ask(sockets.front());
        context.restart();
        context.run_for(milliseconds(600));
        CHECK(server.isDrained());
        CHECK(readAll(sockets.front()).find("200 OK") != std::string::npos);
        // The others are closed in order.
        CHECK(readAll(sockets.back()).empty());
    }
}

TEST_CASE("A request that is still being read when a server's stop ends is refused, not dropped")
{
    asio::io_context context;
    int handled = 0;
    HttpServer server(context,
                      [&](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
                          ++handled;
                          co_await responder.respond(makeResponse(200, "text/plain", request.body));
                      });
    const auto address = value(server.listen(AnyPort));
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(address.host), address.port});
    const auto send = [&](const std::string &bytes) { asio::write(socket, asio::buffer(bytes)); };
    const auto runFor = [&](Duration duration) {
        context.restart();
        context.run_for(duration);
    };
    const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n";
    int status = 503;
    SUBCASE("in its head")
    {
        send(head);
        runFor(milliseconds(50));
        server.drain();
        server.refuseUnread();
    }
    SUBCASE("in its body")
    {
        send(head + "\r\nab");
        runFor(milliseconds(50));
        server.drain();
        server.refuseUnread();
    }
    SUBCASE("also if its first bytes are read after that")
    {
        runFor(milliseconds(50));
        server.drain();
        server.refuseUnread();
        runFor(milliseconds(50));
        send(head + "\r\nab");
    }
    SUBCASE("but one that is whole is served")
    {
        status = 200;
        runFor(milliseconds(50));
        send(head + "\r\nabcd");
        server.drain();
        server.refuseUnread();
    }
    runFor(milliseconds(150));
    CHECK(server.isDrained());
    std::string answer;
    boost::system::error_code code;
    socket.non_blocking(true);
    asio::read(socket, asio::dynamic_buffer(answer), code);
    CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(status)));
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(handled == (status == 200 ? 1 : 0));
}

TEST_CASE("A connection whose handler throws leaves the listener open to the next ones")
{
    asio::io_context context;
    int offered = 0;
    Listener listener(context, [&](asio::ip::tcp::socket) {
        if (++offered < 3)
            throw std::runtime_error("nobody thought of this");
    });
    const auto address = value(listener.listen(AnyPort));
    const asio::ip::tcp::endpoint target(asio::ip::make_address(address.host), address.port);
    std::vector<asio::ip::tcp::socket> callers;
    for (int i = 0; i < 3; ++i)
        callers.emplace_back(context).connect(target);

    SUBCASE("while it accepts")
    {
        context.run_for(milliseconds(300));
        CHECK(offered == 3);
    }
    SUBCASE("and closes in order if they waited for the close")
    {
        bool closed = false;
        listener.close([&] { closed = true; });
        context.run_for(milliseconds(300));
        CHECK(offered == 3);
        CHECK(closed);
    }
}

TEST_CASE("Frames travel both ways on a data channel")
{
    asio::io_context context;
    FrameServer server(context, [](std::shared_ptr<FrameChannel> channel) -> asio::awaitable<void> {
        while (true) {
            auto frame = co_await channel->receive(std::chrono::seconds(5));
            if (!isOk(frame) || !isOk(co_await channel->send(value(frame))))
                co_return;
        }
    });
    const auto address = value(server.listen(AnyPort));
    runOn(context, [&]() -> asio::awaitable<void> {
        auto connected = co_await FrameChannel::connect(context.get_executor(), address,
                                                        std::chrono::seconds(1));
        REQUIRE(isOk(connected));
        auto &channel = *value(connected);
        const std::vector<size_t> sizes(SizesSent.begin(), SizesSent.end());
        for (const size_t size : sizes) {
            proto::Frame frame;
            frame.set_request_id("0123456789abcdef");
            frame.mutable_data()->set_data(std::string(size, 'd'));
            REQUIRE(isOk(co_await channel.send(frame)));
            const auto echo = co_await channel.receive(std::chrono::seconds(5));
            REQUIRE(isOk(echo));
            CHECK(value(echo).data().data().size() == size);
        }
        CHECK(channel.isUsable());
        const auto silent = co_await channel.receive(milliseconds(50));
        REQUIRE(!isOk(silent));
        CHECK(error(silent).kind == ErrorKind::Timeout);
    }());
}

TEST_CASE("A process that stood still does not take its peers for silent")
{
    constexpr auto Silence = milliseconds(200);
    asio::io_context peers;
    asio::io_context context;
    std::vector<std::shared_ptr<FrameChannel>> accepted;
    FrameServer server(peers, [&](std::shared_ptr<FrameChannel> channel) -> asio::awaitable<void> {
        accepted.push_back(std::move(channel));
        co_return;
    });
    const auto address = value(server.listen(AnyPort));
    std::vector<std::unique_ptr<FrameChannel>> channels;
    const auto connect = [&](size_t count) {
        for (size_t i = 0; i < count; ++i) {
            asio::ip::tcp::socket socket(context);
            socket.connect({asio::ip::make_address(address.host), address.port});
            channels.push_back(std::make_unique<FrameChannel>(std::move(socket)));
        }
        while (accepted.size() < count)
            peers.run_one();
    };
    std::vector<Result<proto::Frame>> received;
    const auto receiveAll = [&] {
        for (auto &channel : channels) {
            asio::co_spawn(context, channel->receive(Silence),
                           [&](const std::exception_ptr &, Result<proto::Frame> frame) {
                               received.push_back(std::move(frame));
                           });
        }
        context.poll();
    };
    proto::Frame heartbeat;
    heartbeat.mutable_heartbeat();
    const auto sendAll = [&] {
        for (auto &channel : accepted)
            asio::co_spawn(peers, channel->send(heartbeat), asio::detached);
        peers.poll();
    };
    const auto countWhole = [&] {
        return std::count_if(received.begin(), received.end(),
                             [](const auto &frame) { return isOk(frame); });
    };
    SUBCASE("when their frames arrived during the pause")
    {
        connect(300);
        receiveAll();
        sendAll();
        std::this_thread::sleep_for(3 * Silence);
        context.run_for(Silence);
        CHECK(countWhole() == 300);
    }
    SUBCASE("when they stood still as well and their frames come a moment later")
    {
        connect(1);
        receiveAll();
        std::this_thread::sleep_for(3 * Silence);
        context.run_for(Silence / 2);
        sendAll();
        context.run_for(Silence);
        CHECK(countWhole() == 1);
    }
    SUBCASE("but one that sends nothing is found within the limit from then on")
    {
        connect(1);
        receiveAll();
        std::this_thread::sleep_for(3 * Silence);
        context.run_for(Silence + Silence / 2);
        REQUIRE(received.size() == 1);
        CHECK(error(received.front()).kind == ErrorKind::Timeout);
    }
    SUBCASE("and one that goes silent while this process runs is found within the limit")
    {
        connect(1);
        receiveAll();
        context.run_for(Silence - Silence / 10);
        CHECK(received.empty());
        context.run_for(Silence / 2);
        REQUIRE(received.size() == 1);
        CHECK(error(received.front()).kind == ErrorKind::Timeout);
    }
}

TEST_CASE("Control requests are answered, and silence ends in a timeout")
{
    asio::io_context context;
    ControlServer server([](std::string request, ControlServer::Reply reply) {
        if (request != "silent")
            reply(request + "!");
    });
    const auto address = value(server.listen(AnyPort));
    ControlClient client;
    runOn(context, [&]() -> asio::awaitable<void> {
        const auto answer = co_await client.request(address, "hello", std::chrono::seconds(5));
        REQUIRE(isOk(answer));
        CHECK(value(answer) == "hello!");
        const auto silent = co_await client.request(address, "silent", milliseconds(100));
        REQUIRE(!isOk(silent));
        CHECK(error(silent).kind == ErrorKind::Timeout);
        // A fresh connection replaces the one that was silent.
        const auto again = co_await client.request(address, "again", std::chrono::seconds(5));
        REQUIRE(isOk(again));
    }());
}

TEST_CASE("A control request whose handler throws ends neither the process nor the server")
{
    asio::io_context context;
    std::vector<ControlServer::Reply> late;
    ControlServer server([&](const std::string &request, const ControlServer::Reply &reply) {
        if (request == "answered")
            reply("done");
        else if (request == "kept")
            late.push_back(reply);
        if (request != "sound")
            throw std::runtime_error("nobody thought of this");
        reply("sound");
    });
    const auto address = value(server.listen(AnyPort));
    ControlClient client;
    const auto call = [&](const std::string &request) {
        std::optional<Result<std::string>> answer;
        context.restart();
        runOn(context, [&]() -> asio::awaitable<void> {
            auto result = co_await client.request(address, request, milliseconds(200));
            answer = std::move(result);
        }());
        return std::move(*answer);
    };

    SUBCASE("before it has replied, more often than requests may run at once")
    {
        for (int i = 0; i <= ControlServer::ParallelRequests; ++i) {
            const auto answer = call("broken");
            REQUIRE_FALSE(isOk(answer));
            CHECK(error(answer).kind == ErrorKind::Timeout);
        }
    }
    SUBCASE("after it has replied")
    {
        const auto answer = call("answered");
        REQUIRE(isOk(answer));
        CHECK(value(answer) == "done");
    }
    SUBCASE("and a reply that it kept goes to no other request")
    {
        CHECK_FALSE(isOk(call("kept")));
        REQUIRE(late.size() == 1);
        late.front()("for the first one");
    }
    const auto next = call("sound");
    REQUIRE(isOk(next));
    CHECK(value(next) == "sound");
}
