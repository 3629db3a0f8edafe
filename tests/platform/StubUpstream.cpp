// Writes the scripted replies to TCP connections.
#include "StubUpstream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fcntl.h>
#include <fmt/format.h>

namespace tray::test {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// Keeps the socket out of processes that the test starts. A copy there would keep a crashed
/// upstream's port open.
void closeOnExec(int socket)
{
    ::fcntl(socket, F_SETFD, FD_CLOEXEC);
}

std::string idOf(const HttpRequest &request)
{
    return std::string(findHeader(request.headers, "Marjoramtray-Request-Id"));
}

} // namespace

StubUpstream::StubUpstream(asio::io_context &context, Behaviour behaviour)
    : context(context), behaviour(std::move(behaviour)), acceptor(context)
{}

Address StubUpstream::listen()
{
    this->open(0);
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
}

void StubUpstream::open(uint16_t port)
{
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
    this->acceptor.open(endpoint.protocol());
    closeOnExec(this->acceptor.native_handle());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    asio::co_spawn(this->context, this->accept(), asio::detached);
}

asio::awaitable<void> StubUpstream::crash(Duration downTime)
{
    // Another request has crashed it already.
    if (!this->acceptor.is_open())
        co_return;
    const uint16_t port = this->acceptor.local_endpoint().port();
    this->acceptor.close();
    for (const auto &weak : std::exchange(this->connections, {})) {
        const auto connection = weak.lock();
        if (!connection || !connection->is_open())
            continue;
        connection->set_option(asio::socket_base::linger(true, 0));
        connection->close();
    }
    co_await this->wait(downTime);
    this->open(port);
}

asio::awaitable<void> StubUpstream::accept()
{
    while (true) {
        auto [code, socket] = co_await this->acceptor.async_accept(Await);
        if (code)
            co_return;
        closeOnExec(socket.native_handle());
        auto connection = std::make_shared<tcp::socket>(std::move(socket));
        std::erase_if(this->connections, [](const auto &weak) { return weak.expired(); });
        this->connections.push_back(connection);
        asio::co_spawn(this->context, this->serve(std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> StubUpstream::serve(std::shared_ptr<tcp::socket> connection)
{
    tcp::socket &socket = *connection;
    beast::flat_buffer buffer;
    std::string lateBytes;
    while (true) {
        http::request<http::string_body> message;
        const auto [code, size] = co_await http::async_read(socket, buffer, message, Await);
        if (code)
            co_return;
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message)
            request.headers.emplace_back(std::string(field.name_string()),
                                         std::string(field.value()));
        request.body = message.body();
        this->received.push_back(request);
        lateBytes += std::exchange(this->lateBytesAnywhere, {});
        if (!lateBytes.empty())
            co_await asio::async_write(socket, asio::buffer(lateBytes), Await);
        const StubReply reply = this->behaviour(request);
        lateBytes.clear();
        (reply.isLateAnywhere ? this->lateBytesAnywhere : lateBytes) = reply.lateBytes;
        co_await this->wait(reply.delay);
        if (reply.crashFor) {
            if (!reply.bytes.empty())
                co_await asio::async_write(socket, asio::buffer(reply.bytes), Await);
            co_await this->wait(reply.crashDelay);
            asio::co_spawn(this->context, this->crash(*reply.crashFor), asio::detached);
            co_return;
        }
        if (!reply.bytes.empty())
            co_await asio::async_write(socket, asio::buffer(reply.bytes), Await);
        for (const auto &piece : reply.pieces) {
            co_await this->wait(reply.pieceDelay);
            co_await asio::async_write(socket, asio::buffer(piece), Await);
        }
        while (!reply.repeatedBytes.empty()) {
            co_await this->wait(reply.pieceDelay);
            const auto [failed, written] =
                co_await asio::async_write(socket, asio::buffer(reply.repeatedBytes), Await);
            this->repeatedBytesSent += written;
            if (failed) {
                this->repeatedBytesEndedAt = clockNow();
                co_return;
            }
        }
        if (reply.hang) {
            char byte;
            co_await socket.async_read_some(asio::buffer(&byte, 1), Await);
            ++this->closedByPeer;
            co_return;
        }
        if (reply.reset) {
            // The destructor alone would close the connection orderly.
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
            co_return;
        }
        if (reply.close)
            co_return;
    }
}

asio::awaitable<void> StubUpstream::wait(Duration duration)
{
    if (duration <= Duration::zero())
        co_return;
    asio::steady_timer timer(this->context, duration);
    co_await timer.async_wait(Await);
}

std::string StubUpstream::sealedAnswer(const HttpRequest &request, int status,
                                       const std::string &body)
{
    return fmt::format("HTTP/1.1 {} X\r\nMarjoramtray-Request-Id: {}\r\n"
                       "Marjoramtray-Response-Seal: s1\r\nContent-Length: {}\r\n\r\n{}",
                       status, idOf(request), body.size(), body);
}

std::string StubUpstream::sealedAnswer(const HttpRequest &request, int status,
                                       const std::string &body, const std::string &headerLine)
{
    std::string answer = sealedAnswer(request, status, body);
    answer.insert(answer.find("\r\n") + 2, headerLine + "\r\n");
    return answer;
}

std::string StubUpstream::sealedStreamHead(const HttpRequest &request)
{
    return fmt::format("HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: {}\r\n"
                       "Marjoramtray-Response-Seal: s1\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       idOf(request));
}

std::string StubUpstream::sealedUnframedHead(const HttpRequest &request)
{
    return fmt::format("HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: {}\r\n"
                       "Marjoramtray-Response-Seal: s1\r\nContent-Type: text/event-stream\r\n\r\n",
                       idOf(request));
}

std::string StubUpstream::encodeChunk(const std::string &data)
{
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

} // namespace tray::test
