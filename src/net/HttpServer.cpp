// Server side of HTTP/1.1 by Boost.Beast.
#include "net/HttpServer.h"

#include "net/Listener.h"
#include "net/SocketOptions.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <spdlog/spdlog.h>
#include <unordered_set>
#include <utility>

namespace tray {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
// Bytes of next requests that are read while one is being answered, in all and in one piece. A peer
// that sends more is not watched any further.
constexpr size_t MaxEarlyBytes = 65536;
constexpr size_t EarlyPiece = 4096;
// Time for the first request on a new connection to arrive during a drain: some round trips between
// regions.
constexpr Duration FirstRequestGrace = milliseconds(300);
// Time between two attempts to end the reading of a request that is late: an attempt between two
// reads ends none.
constexpr Duration LateRetry = milliseconds(5);

HttpResponse defaultRefusal(const Error &reason)
{
    return {errorAnswer(reason.kind).httpStatus,
            {{"Content-Type", "text/plain"}},
            reason.message + "\n"};
}

Error refusalOf(beast::error_code code)
{
    if (code == http::error::header_limit)
        return {ErrorKind::HeaderTooLarge, "the request header is too large"};
    if (code == http::error::buffer_overflow)
        return {ErrorKind::HeaderTooLarge, "a chunk header or the trailers are too large"};
    if (code == http::error::body_limit)
        return {ErrorKind::BodyTooLarge, "the request body is too large"};
    if (code == beast::error::timeout)
        return {ErrorKind::RequestTimeout, "the request did not arrive in time"};
    return {ErrorKind::BadRequest, "the request is not valid HTTP: " + code.message()};
}

bool isPeerFault(beast::error_code code)
{
    return code == beast::error::timeout ||
           (code.category() == make_error_code(http::error::bad_target).category() &&
            code != http::error::end_of_stream && code != http::error::partial_message);
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    class Connection;

    Impl(asio::io_context &context, HttpHandler handler, HttpServerLimits limits,
         HttpRefusal refusal)
        : context(context), handler(std::move(handler)), limits(limits),
          refusal(refusal ? std::move(refusal) : defaultRefusal)
    {}

    void serve(tcp::socket socket);

    asio::io_context &context;
    HttpHandler handler;
    HttpServerLimits limits;
    HttpRefusal refusal;
    std::unique_ptr<Listener> listener;
    std::atomic<bool> draining{false};
    // The drain has handed over the last connection.
    std::atomic<bool> closed{false};
    std::atomic<bool> leaving{false};
    // Requests that are not whole yet are read no further.
    std::atomic<bool> refusingUnread{false};
    std::atomic<size_t> inFlight{0};
    mutable std::mutex mutex;
    // Connections that exist, to close idle ones on drain.
    std::unordered_set<Connection *> connections;
};

class HttpServer::Impl::Connection : public HttpResponder
{
public:
    Connection(std::shared_ptr<Impl> server, tcp::socket socket)
        : server(std::move(server)), stream(std::move(socket)),
          graceTimer(this->stream.get_executor()), readTimer(this->stream.get_executor())
    {
        const std::lock_guard lock(this->server->mutex);
        this->server->connections.insert(this);
    }

    ~Connection() override
    {
        const std::lock_guard lock(this->server->mutex);
        this->server->connections.erase(this);
    }

    asio::any_io_executor executor() { return this->stream.get_executor(); }

    asio::awaitable<void> run()
    {
        setUpSocket(this->stream.socket());
        while (co_await this->serveOne()) {
        }
        beast::error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    /// Ends the wait for a next request. Called under the server's lock from any thread.
    void closeIfIdle()
    {
        asio::post(this->stream.get_executor(),
                   [this, keep = this->server, weak = std::weak_ptr<int>(this->alive)] {
                       if (!weak.lock() || !this->idle || this->hasBytes())
                           return;
                       if (this->requests == 0)
                           this->awaitFirstRequest();
                       else
                           this->stream.cancel();
                   });
    }

    /// Ends the reading of a request that is not whole. Called under the server's lock from any
    /// thread.
    void endReading()
    {
        asio::post(this->stream.get_executor(),
                   [this, keep = this->server, weak = std::weak_ptr<int>(this->alive)] {
                       if (!weak.lock() || !this->reading)
                           return;
                       this->readDeadline = clockNow();
                       this->awaitReadDeadline(this->readDeadline);
                   });
    }

    asio::awaitable<bool> respond(HttpResponse response) override
    {
        if (this->rejectSecondAnswer())
            co_return false;
        this->started = true;
        http::response<http::string_body> message{static_cast<http::status>(response.status), 11};
        for (const auto &[name, text] : response.headers)
            message.insert(name, text);
        message.keep_alive(this->keepsAlive());
        message.body() = std::move(response.body);
        message.prepare_payload();
        if (this->headRequest)
            message.body().clear();
        const Instant usual = this->usualLimit();
        this->stream.expires_at(std::max(usual, this->deadline.value_or(usual)));
        this->allowReading();
        const auto [code, bytes] = co_await http::async_write(this->stream, message, Await);
        this->closing = this->closing || code || !message.keep_alive();
        co_return !code;
    }

    asio::awaitable<bool> start(int status, HttpHeaders headers) override
    {
        if (this->rejectSecondAnswer())
            co_return false;
        this->started = true;
        this->streaming = true;
        http::response<http::empty_body> message{static_cast<http::status>(status), 11};
        for (const auto &[name, text] : headers)
            message.insert(name, text);
        message.keep_alive(this->keepsAlive());
        message.chunked(true);
        this->closing = this->closing || !message.keep_alive();
        http::response_serializer<http::empty_body> serializer{message};
        this->limitWrite();
        this->allowReading();
        const auto [code, bytes] =
            co_await http::async_write_header(this->stream, serializer, Await);
        this->closing = this->closing || code;
        co_return !code;
    }

    asio::awaitable<bool> write(std::string data) override
    {
        if (data.empty())
            co_return true;
        this->limitWrite();
        const auto [code, bytes] = co_await asio::async_write(
            this->stream, http::make_chunk(asio::const_buffer(data.data(), data.size())), Await);
        this->closing = this->closing || code;
        co_return !code;
    }

    asio::awaitable<bool> finish() override
    {
        this->streaming = false;
        this->limitWrite();
        const auto [code, bytes] =
            co_await asio::async_write(this->stream, http::make_chunk_last(), Await);
        this->closing = this->closing || code;
        co_return !code;
    }

    void setDeadline(Instant deadline) override { this->deadline = deadline; }

    void onPeerGone(std::function<void()> callback) override
    {
        this->peerGone = std::make_shared<std::function<void()>>(std::move(callback));
        this->watchPeer();
    }

    bool isStarted() const override { return this->started; }

    bool isPeerGone() override
    {
        auto &socket = this->stream.socket();
        if (!socket.is_open())
            return true;
        char byte;
        const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void abort() override
    {
        this->closing = true;
        beast::error_code ignored;
        this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        this->stream.socket().close(ignored);
    }

private:
    /// When the peer must have read an answer that has no deadline, or a shorter one.
    Instant usualLimit() const { return clockNow() + this->server->limits.requestTimeout; }

    /// From the first bytes of an answer on, a peer that does not read is no dead one.
    void allowReading()
    {
        const Instant usual = this->usualLimit();
        allowUnread(this->stream.socket(),
                    std::max(usual, this->deadline.value_or(usual)) - clockNow());
        this->unreadAllowed = true;
    }

    /// Limits the write of a stream's next piece.
    void limitWrite()
    {
        if (this->deadline)
            this->stream.expires_at(*this->deadline);
        else
            this->stream.expires_after(this->server->limits.requestTimeout);
    }

    /// A request gets one answer. Another head would be read as part of the first answer's body, or
    /// as the answer to the next request; the connection ends instead.
    bool rejectSecondAnswer()
    {
        if (!this->started)
            return false;
        spdlog::error("event=second_answer error=\"an answer to this request has begun already\"");
        this->abort();
        return true;
    }

    /// A caller that has just connected is about to send.
    void awaitFirstRequest()
    {
        this->graceTimer.expires_after(FirstRequestGrace);
        this->graceTimer.async_wait(
            [this, weak = std::weak_ptr<int>(this->alive)](beast::error_code code) {
                if (!code && weak.lock() && this->idle && !this->hasBytes())
                    this->stream.cancel();
            });
    }

    /// Ends the reading of a request at a time. The stream's own timeout would close the connection
    /// before the answer.
    void limitReading(Instant deadline)
    {
        this->stream.expires_never();
        this->reading = true;
        this->readDeadline = deadline;
        this->awaitReadDeadline(deadline);
    }

    void awaitReadDeadline(Instant until)
    {
        this->readTimer.expires_at(until);
        this->readTimer.async_wait(
            [this, weak = std::weak_ptr<int>(this->alive)](beast::error_code code) {
                // A wait that ended just before it was cancelled belongs to an earlier request.
                if (code || !weak.lock() || !this->reading || clockNow() < this->readDeadline)
                    return;
                this->stream.cancel();
                this->awaitReadDeadline(clockNow() + LateRetry);
            });
    }

    /// The peer has sent something that was not read yet.
    bool hasBytes()
    {
        auto &socket = this->stream.socket();
        char byte;
        return socket.is_open() &&
               ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    /// A peer that is told of the close must not have sent its next request yet, which would be
    /// dropped.
    bool keepsAlive()
    {
        const bool isLeaving = this->server->draining || this->server->leaving;
        return this->requestKeepsAlive &&
               (!isLeaving || this->buffer.size() > 0 || this->hasBytes());
    }

    asio::awaitable<bool> serveOne()
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(this->server->limits.headerBytes);
        parser.body_limit(this->server->limits.bodyBytes);
        if (!co_await this->waitForRequest())
            co_return false;
        this->started = false;
        this->deadline.reset();
        if (std::exchange(this->unreadAllowed, false))
            allowUnread(this->stream.socket(), DeadPathTime);
        // The parser limits headers and bodies only: this limit ends chunk headers and trailers.
        this->buffer.max_size(std::max(this->buffer.size(), this->server->limits.headerBytes +
                                                                MaxEarlyBytes + EarlyPiece));
        const Duration patience =
            this->server->refusingUnread ? Duration::zero() : this->server->limits.requestTimeout;
        this->limitReading(clockNow() + patience);
        auto [code, bytes] =
            co_await http::async_read_header(this->stream, this->buffer, parser, Await);
        if (!code && parser.get()[http::field::expect] == "100-continue") {
            http::response<http::empty_body> proceed{http::status::continue_, 11};
            auto [writeCode, written] = co_await http::async_write(this->stream, proceed, Await);
            code = writeCode;
        }
        if (!code)
            std::tie(code, bytes) =
                co_await http::async_read(this->stream, this->buffer, parser, Await);
        this->reading = false;
        this->readTimer.cancel();
        if (code == asio::error::operation_aborted && clockNow() >= this->readDeadline)
            code = beast::error::timeout;
        if (code) {
            if (isPeerFault(code)) {
                this->requestKeepsAlive = false;
                const bool isEnded = this->server->refusingUnread && code == beast::error::timeout;
                HttpResponse answer = this->server->refusal(
                    isEnded ? Error{ErrorKind::Draining, "the instance stops: no more is read"}
                            : refusalOf(code));
                co_await this->respond(std::move(answer));
            }
            co_return false;
        }
        auto message = parser.release();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message)
            request.headers.emplace_back(std::string(field.name_string()),
                                         std::string(field.value()));
        request.body = std::move(message.body());
        this->headRequest = request.method == "HEAD";
        this->requestKeepsAlive = message.keep_alive();
        ++this->requests;
        ++this->server->inFlight;
        bool failed = false;
        try {
            co_await this->server->handler(std::move(request), *this);
        } catch (const std::exception &failure) {
            spdlog::error("event=handler_failed error=\"{}\"", failure.what());
            failed = true;
        }
        // What the callback refers to ends with the handler.
        this->peerGone.reset();
        this->closing = this->closing || failed;
        // A handler that ends without an answer has no caller any more.
        if (failed && !this->started) {
            this->requestKeepsAlive = false;
            HttpResponse answer = this->server->refusal(
                Error{ErrorKind::Internal, "the request met an unexpected error"});
            co_await this->respond(std::move(answer));
        }
        --this->server->inFlight;
        // A stream that was not finished is cut, so that the peer does not take it for whole.
        if (this->streaming)
            this->abort();
        // In a drain, only what the peer has sent already is still served.
        co_return !this->closing && this->started;
    }

    /// Waits until the peer sends something or closes while a request is being answered.
    void watchPeer()
    {
        const std::weak_ptr<std::function<void()>> watched = this->peerGone;
        this->stream.socket().async_wait(tcp::socket::wait_read,
                                         [this, watched](beast::error_code code) {
                                             // The callback lives as long as the request, and so
                                             // does the connection.
                                             const auto callback = watched.lock();
                                             if (!callback || code)
                                                 return;
                                             if (!this->takeEarlyBytes())
                                                 (*callback)();
                                             else if (this->buffer.size() < MaxEarlyBytes)
                                                 this->watchPeer();
                                         });
    }

    /// Keeps bytes of a next request, which would hide the end of the connection. False if the
    /// connection has ended.
    bool takeEarlyBytes()
    {
        auto &socket = this->stream.socket();
        if (!socket.is_open())
            return false;
        const auto room = this->buffer.prepare(EarlyPiece);
        const auto size = ::recv(socket.native_handle(), room.data(), room.size(), MSG_DONTWAIT);
        if (size > 0)
            this->buffer.commit(static_cast<size_t>(size));
        return size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    }

    /// Waits for the first byte of a request. False if the peer closed or the server drains.
    asio::awaitable<bool> waitForRequest()
    {
        if (this->buffer.size() > 0)
            co_return true;
        Duration patience = this->server->limits.idleTimeout;
        if (this->server->draining && !this->hasBytes()) {
            if (this->requests > 0)
                co_return false;
            patience = FirstRequestGrace;
        }
        this->idle = true;
        this->stream.expires_after(patience);
        const auto [code, bytes] =
            co_await this->stream.async_read_some(this->buffer.prepare(4096), Await);
        this->idle = false;
        if (code)
            co_return false;
        this->buffer.commit(bytes);
        co_return true;
    }

    std::shared_ptr<Impl> server;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    asio::steady_timer graceTimer;
    asio::steady_timer readTimer;
    Instant readDeadline;
    // A request is being read and must have arrived by the deadline.
    bool reading = false;
    std::shared_ptr<int> alive = std::make_shared<int>();
    // Requests that were read from the connection.
    uint64_t requests = 0;
    // Set while a request is being answered.
    std::shared_ptr<std::function<void()>> peerGone;
    // The kernel waits for the peer to read an answer.
    bool unreadAllowed = false;
    // End of the present request's time; none until the handler names it.
    std::optional<Instant> deadline;
    bool idle = false;
    bool started = false;
    bool streaming = false;
    bool closing = false;
    bool headRequest = false;
    bool requestKeepsAlive = true;
};

void HttpServer::Impl::serve(tcp::socket socket)
{
    auto connection = std::make_shared<Connection>(this->shared_from_this(), std::move(socket));
    asio::co_spawn(
        connection->executor(), [connection] { return connection->run(); },
        [connection](const std::exception_ptr &) {});
}

HttpServer::HttpServer(asio::io_context &context, HttpHandler handler, HttpServerLimits limits,
                       HttpRefusal refusal)
    : impl(std::make_shared<Impl>(context, std::move(handler), limits, std::move(refusal)))
{}

HttpServer::~HttpServer()
{
    this->drain();
}

Result<Address> HttpServer::listen(const Address &address)
{
    // An accept that is under way may end after the server.
    const std::weak_ptr<Impl> weak = this->impl;
    this->impl->listener =
        std::make_unique<Listener>(this->impl->context, [weak](tcp::socket socket) {
            if (const auto impl = weak.lock())
                impl->serve(std::move(socket));
        });
    return this->impl->listener->listen(address);
}

void HttpServer::drain()
{
    if (this->impl->draining.exchange(true))
        return;
    if (this->impl->listener) {
        this->impl->listener->close([weak = std::weak_ptr<Impl>(this->impl)] {
            if (const auto impl = weak.lock())
                impl->closed = true;
        });
    } else {
        this->impl->closed = true;
    }
    const std::lock_guard lock(this->impl->mutex);
    for (auto *connection : this->impl->connections)
        connection->closeIfIdle();
}

void HttpServer::refuseUnread()
{
    this->impl->refusingUnread = true;
    const std::lock_guard lock(this->impl->mutex);
    for (auto *connection : this->impl->connections)
        connection->endReading();
}

bool HttpServer::isDrained() const
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->closed && this->impl->connections.empty();
}

void HttpServer::beginLeaving()
{
    this->impl->leaving = true;
}

void HttpServer::setLimits(HttpServerLimits limits)
{
    this->impl->limits = limits;
}

size_t HttpServer::inFlight() const
{
    return this->impl->inFlight;
}

} // namespace tray
