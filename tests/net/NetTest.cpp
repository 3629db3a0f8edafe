// Tests of the HTTP, frame and control channels over loopback connections.
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
constexpr std::array<size_t, 4> FrameSizes = {0, 10, 100000, 3};

/// Built outside of the coroutine, because g++ 12 rejects arrays of constants inside one.
std::vector<std::string> twoTexts()
{
    return {"first", "second"};
}

/// Requests whose heads would not be read as they were meant.
std::vector<HttpRequest> unwritableRequests()
{
    std::vector<HttpRequest> requests;
    const std::vector<std::string> values{
        "a\r\nX-Injected: 1", "a\nb", std::string("a\0b", 3), "a ", "\ta", "a\x7f"};
    for (const auto &text : values)
        requests.push_back({"GET", "/echo", {{"X-Name", text}}, ""});
    requests.push_back({"GET", "/echo", {{"X: 1\r\nY", "a"}}, ""});
    requests.push_back({"GET", "/echo", {{"", "a"}}, ""});
    const std::vector<std::string> targets{"/echo HTTP/1.1\r\nX-Injected: 1", "/e cho", ""};
    for (const auto &target : targets)
        requests.push_back({"GET", target, {}, ""});
    requests.push_back({"GET /", "/echo", {}, ""});
    return requests;
}

/// Runs the context, which other tasks may share, until the coroutine has ended.
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
                          if (request.target == "/complete")
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
    SUBCASE("complete bodies are returned for two requests over one keep-alive connection")
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
    SUBCASE("a finished stream is complete, and a truncated one fails")
    {
        runOn(context, [&]() -> asio::awaitable<void> {
            const auto complete = co_await call("GET", "/complete");
            REQUIRE(isOk(complete));
            CHECK(value(complete).body == "one,two");
            const auto truncated = co_await call("GET", "/cut");
            CHECK(!isOk(truncated));
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
    SUBCASE("a head that its reader would take for another one is not sent")
    {
        runOn(context, [&]() -> asio::awaitable<void> {
            const auto requests = unwritableRequests();
            for (const auto &request : requests) {
                const auto result =
                    co_await client.request(address, request, std::chrono::seconds(1));
                REQUIRE_FALSE(isOk(result));
                CHECK(error(result).kind == ErrorKind::BadRequest);
            }
            CHECK(client.dialled() == 0);
            HttpHeaders odd{{"X-Name", "a\tb \xc3\xbc \"c\""}, {"X-Empty", ""}};
            const auto result = co_await call("GET", "/echo", "", std::move(odd));
            REQUIRE(isOk(result));
            CHECK(value(result).status == 200);
        }());
    }
    SUBCASE("a refused connection is reported as UpstreamUnreachable, so that nothing was sent")
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

TEST_CASE("A response head that its reader would take for another one is not sent")
{
    asio::io_context context;
    HttpServer server(
        context, [](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
            HttpResponse response = makeResponse(200, "text/plain", "body");
            response.headers.emplace_back("X-Name", "a\r\nX-Injected: 1");
            if (request.target == "/whole")
                co_await responder.respond(std::move(response));
            else
                CHECK_FALSE(co_await responder.start(200, std::move(response.headers)));
        });
    const auto address = value(server.listen(AnyPort));
    HttpClient client(context);
    runOn(context, [&]() -> asio::awaitable<void> {
        HttpRequest request;
        request.target = "/whole";
        const auto whole = co_await client.request(address, request, std::chrono::seconds(1));
        REQUIRE(isOk(whole));
        CHECK(value(whole).status == 500);
        CHECK(value(whole).body.empty());
        CHECK(findHeader(value(whole).headers, "X-Injected").empty());
        request.target = "/stream";
        CHECK_FALSE(isOk(co_await client.request(address, request, std::chrono::seconds(1))));
    }());
}

TEST_CASE("A request whose handler throws")
{
    asio::io_context context;
    HttpServer server(context,
                      [](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
                          if (request.target == "/begun")
                              co_await responder.start(200, contentType("text/event-stream"));
                          throw std::runtime_error("unexpected failure");
                      });
    const auto address = value(server.listen(AnyPort));
    HttpClient client(context);
    SUBCASE("gets a final internal-error response, and so does the next one")
    {
        runOn(context, [&]() -> asio::awaitable<void> {
            for (int i = 0; i < 2; ++i) {
                HttpRequest request{"GET", "/", {}, ""};
                const auto response =
                    co_await client.request(address, std::move(request), std::chrono::seconds(5));
                REQUIRE(isOk(response));
                CHECK(value(response).status == 500);
            }
        }());
    }
    SUBCASE("is aborted if its response has started")
    {
        runOn(context, [&]() -> asio::awaitable<void> {
            HttpRequest request{"GET", "/begun", {}, ""};
            const auto response =
                co_await client.request(address, std::move(request), std::chrono::seconds(5));
            CHECK_FALSE(isOk(response));
        }());
    }
}

TEST_CASE(
    "A request that was sent during a streamed response is answered although the server drains")
{
    bool readAhead = false;
    SUBCASE("and it was read early")
    {
        readAhead = true;
    }
    SUBCASE("and it was not read yet") {}
    asio::io_context context;
    HttpServer server(
        context, [&](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
            if (request.target != "/stream") {
                co_await responder.respond(makeResponse(200, "text/plain", request.target));
                co_return;
            }
            if (readAhead)
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
        // The response head has already promised that the connection stays open.
        server.drain();
        co_await asio::async_write(socket, asio::buffer(second), asio::use_awaitable);
        boost::system::error_code ended;
        co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                  asio::redirect_error(asio::use_awaitable, ended));
    }());
    CHECK(received.find("/second") != std::string::npos);
    CHECK(server.isDrained());
}

TEST_CASE("A request that was sent before the caller received Connection: close is answered")
{
    bool readAhead = false;
    SUBCASE("and it was read early")
    {
        readAhead = true;
    }
    SUBCASE("and it was not read yet") {}
    asio::io_context context;
    std::optional<HttpServer> server;
    server.emplace(context,
                   [&](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
                       if (request.target == "/first") {
                           if (readAhead)
                               responder.onPeerGone([] {});
                           asio::steady_timer timer(context, milliseconds(50));
                           co_await timer.async_wait(asio::use_awaitable);
                           server->disableKeepAlive();
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
    // Only the last response carries the header.
    CHECK(received.find("Connection: close") > received.find("/first"));
    CHECK(received.find("Connection: close") != std::string::npos);
}

TEST_CASE(
    "The disconnect callback of a handler that threw does not run while its response is written")
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
            throw std::runtime_error("unexpected failure");
            co_return;
        },
        {},
        // Too long to be written in one go to a peer that does not read.
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

TEST_CASE(
    "Cancelling a finished call does not close its pooled connection, which the next call uses")
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
        const auto response =
            co_await client.request(address, std::move(second), std::chrono::seconds(5));
        REQUIRE(isOk(response));
        CHECK(value(response).body == "/slow");
        CHECK(client.dialled() == 1);
    }());
}

TEST_CASE("An abandoned request does not completely reach a peer that pauses and reads later")
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
        SUBCASE("it timed out") {}
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

TEST_CASE("A read after its timeout fails although more of the response has arrived")
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

TEST_CASE("A second response to one request closes the connection instead of being sent")
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
    SUBCASE("after a streamed response has started")
    {
        target = "/stream";
    }
    SUBCASE("after a complete response, where it would be read as the response to the next request")
    {
        target = "/complete";
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

TEST_CASE("A drain answers the requests that peers sent before it")
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
    SUBCASE("also if the first request on a new connection arrives shortly afterwards")
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

TEST_CASE("An incomplete request is refused, not dropped, at the end of a server's stop")
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
    SUBCASE("while its head is being received")
    {
        send(head);
        runFor(milliseconds(50));
        server.drain();
        server.refuseIncompleteRequests();
    }
    SUBCASE("while its body is being received")
    {
        send(head + "\r\nab");
        runFor(milliseconds(50));
        server.drain();
        server.refuseIncompleteRequests();
    }
    SUBCASE("also if its first bytes arrive after that")
    {
        runFor(milliseconds(50));
        server.drain();
        server.refuseIncompleteRequests();
        runFor(milliseconds(50));
        send(head + "\r\nab");
    }
    SUBCASE("but a complete one is served")
    {
        status = 200;
        runFor(milliseconds(50));
        send(head + "\r\nabcd");
        server.drain();
        server.refuseIncompleteRequests();
    }
    runFor(milliseconds(150));
    CHECK(server.isDrained());
    std::string response;
    boost::system::error_code code;
    socket.non_blocking(true);
    asio::read(socket, asio::dynamic_buffer(response), code);
    CHECK(response.starts_with("HTTP/1.1 " + std::to_string(status)));
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(handled == (status == 200 ? 1 : 0));
}

TEST_CASE("A listener whose handler throws for one connection accepts the next ones")
{
    asio::io_context context;
    int offered = 0;
    Listener listener(context, [&](asio::ip::tcp::socket) {
        if (++offered < 3)
            throw std::runtime_error("unexpected failure");
    });
    const auto address = value(listener.listen(AnyPort));
    const asio::ip::tcp::endpoint target(asio::ip::make_address(address.host), address.port);
    std::vector<asio::ip::tcp::socket> callers;
    for (int i = 0; i < 3; ++i)
        callers.emplace_back(context).connect(target);

    SUBCASE("while it is accepting")
    {
        context.run_for(milliseconds(300));
        CHECK(offered == 3);
    }
    SUBCASE("and closes in order if connections were waiting to be accepted")
    {
        bool closed = false;
        listener.close([&] { closed = true; });
        context.run_for(milliseconds(300));
        CHECK(offered == 3);
        CHECK(closed);
    }
}

TEST_CASE("Frames are sent in both directions on a data channel")
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
        const std::vector<size_t> sizes(FrameSizes.begin(), FrameSizes.end());
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
        const auto timedOut = co_await channel.receive(milliseconds(50));
        REQUIRE(!isOk(timedOut));
        CHECK(error(timedOut).kind == ErrorKind::Timeout);
    }());
}

TEST_CASE("A process that was paused does not treat its peers as inactive")
{
    constexpr auto InactivityTimeout = milliseconds(200);
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
            asio::co_spawn(context, channel->receive(InactivityTimeout),
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
    const auto countFrames = [&] {
        return std::count_if(received.begin(), received.end(),
                             [](const auto &frame) { return isOk(frame); });
    };
    SUBCASE("when their frames arrived during the pause")
    {
        connect(300);
        receiveAll();
        sendAll();
        std::this_thread::sleep_for(3 * InactivityTimeout);
        context.run_for(InactivityTimeout);
        CHECK(countFrames() == 300);
    }
    SUBCASE("when they were paused as well and their frames arrive shortly afterwards")
    {
        connect(1);
        receiveAll();
        std::this_thread::sleep_for(3 * InactivityTimeout);
        context.run_for(InactivityTimeout / 2);
        sendAll();
        context.run_for(InactivityTimeout);
        CHECK(countFrames() == 1);
    }
    SUBCASE("but a peer that sends nothing times out within the limit after the pause")
    {
        connect(1);
        receiveAll();
        std::this_thread::sleep_for(3 * InactivityTimeout);
        context.run_for(InactivityTimeout + InactivityTimeout / 2);
        REQUIRE(received.size() == 1);
        CHECK(error(received.front()).kind == ErrorKind::Timeout);
    }
    SUBCASE("and a peer that stops sending while this process runs times out within the limit")
    {
        connect(1);
        receiveAll();
        context.run_for(InactivityTimeout - InactivityTimeout / 10);
        CHECK(received.empty());
        context.run_for(InactivityTimeout / 2);
        REQUIRE(received.size() == 1);
        CHECK(error(received.front()).kind == ErrorKind::Timeout);
    }
}

TEST_CASE("Control requests are answered, and a missing reply ends in a timeout")
{
    asio::io_context context;
    ControlServer server([](std::string request, ControlServer::Reply reply) {
        if (request != "unanswered")
            reply(request + "!");
    });
    const auto address = value(server.listen(AnyPort));
    ControlClient client;
    runOn(context, [&]() -> asio::awaitable<void> {
        const auto response = co_await client.request(address, "hello", std::chrono::seconds(5));
        REQUIRE(isOk(response));
        CHECK(value(response) == "hello!");
        const auto timedOut = co_await client.request(address, "unanswered", milliseconds(100));
        REQUIRE(!isOk(timedOut));
        CHECK(error(timedOut).kind == ErrorKind::Timeout);
        // A new connection has replaced the unresponsive one.
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
            throw std::runtime_error("unexpected failure");
        reply("sound");
    });
    const auto address = value(server.listen(AnyPort));
    ControlClient client;
    const auto call = [&](const std::string &request) {
        std::optional<Result<std::string>> response;
        context.restart();
        runOn(context, [&]() -> asio::awaitable<void> {
            auto result = co_await client.request(address, request, milliseconds(200));
            response = std::move(result);
        }());
        return std::move(*response);
    };

    SUBCASE("before it has replied, more often than requests may run at once")
    {
        for (int i = 0; i <= ControlServer::MaxConcurrentRequests; ++i) {
            const auto response = call("broken");
            REQUIRE_FALSE(isOk(response));
            CHECK(error(response).kind == ErrorKind::Timeout);
        }
    }
    SUBCASE("after it has replied")
    {
        const auto response = call("answered");
        REQUIRE(isOk(response));
        CHECK(value(response) == "done");
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
