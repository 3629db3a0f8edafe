// HTTP/1.1 server connections on Boost.Beast: request parsing, responses, read and write timeouts,
// and drain.
#include "net/HttpServer.h"

#include "base/HttpStatus.h"
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
// Maximum number of bytes of pipelined requests that are read ahead while a request is handled, in
// total and per read. A peer that sends more is no longer watched for a disconnect.
constexpr size_t MaxReadAheadBytes = 65536;
constexpr size_t ReadAheadChunkBytes = 4096;
// During a drain, longest wait for the first request on a new connection: several round trips
// between regions.
constexpr Duration FirstRequestTimeout = milliseconds(300);
// Interval at which the cancellation of an expired request read is repeated. A cancellation that
// falls between two read operations has no effect.
constexpr Duration ReadCancelRetryInterval = milliseconds(5);

HttpResponse defaultRefusal(const Error &reason)
{
    return {errorAnswer(reason.kind).httpStatus,
            {{"Content-Type", "text/plain"}},
            reason.message + "\n"};
}

Error toRefusal(beast::error_code code)
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

Error outOfMemoryRefusal()
{
    return {ErrorKind::OutOfMemory, "too many large bodies are held: this one is not read"};
}

bool isRequestFault(beast::error_code code)
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
         HttpRefusal refusal, MemoryBudget *bodyMemory)
        : context(context), handler(std::move(handler)), limits(limits),
          refusal(refusal ? std::move(refusal) : defaultRefusal), bodyMemory(bodyMemory)
    {}

    void serve(tcp::socket socket);

    asio::io_context &context;
    HttpHandler handler;
    HttpServerLimits limits;
    HttpRefusal refusal;
    // Memory of the bodies of requests; null if it is not bounded.
    MemoryBudget *const bodyMemory;
    std::unique_ptr<Listener> listener;
    std::atomic<bool> draining{false};
    // The listener has handed over its last connection.
    std::atomic<bool> closed{false};
    std::atomic<bool> keepAliveDisabled{false};
    // Requests that have not been received completely are refused and not read any further.
    std::atomic<bool> refusingIncompleteRequests{false};
    std::atomic<size_t> inFlight{0};
    mutable std::mutex mutex;
    // All open connections. A drain closes the idle ones.
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

    /// Closes the connection if it is waiting for its next request. Called from any thread with the
    /// server's mutex locked.
    void closeIfIdle()
    {
        asio::post(this->stream.get_executor(),
                   [this, keep = this->server, weak = std::weak_ptr<int>(this->lifetimeToken)] {
                       if (!weak.lock() || !this->idle || this->hasUnreadBytes())
                           return;
                       if (this->requests == 0)
                           this->waitForFirstRequest();
                       else
                           this->stream.cancel();
                   });
    }

    /// Lets the read of an incomplete request time out immediately. Called from any thread with the
    /// server's mutex locked.
    void expireRead()
    {
        asio::post(this->stream.get_executor(),
                   [this, keep = this->server, weak = std::weak_ptr<int>(this->lifetimeToken)] {
                       if (!weak.lock() || !this->reading)
                           return;
                       this->readDeadline = clockNow();
                       this->awaitReadDeadline(this->readDeadline);
                   });
    }

    asio::awaitable<bool> respond(HttpResponse response) override
    {
        if (this->rejectSecondResponse())
            co_return false;
        this->started = true;
        if (!areWritable(response.headers))
            response = HttpResponse{500, {}, ""};
        http::response<http::string_body> message{finalStatus(response.status), 11};
        for (const auto &[name, text] : response.headers)
            message.insert(name, text);
        message.keep_alive(this->shouldKeepAlive());
        message.body() = std::move(response.body);
        message.prepare_payload();
        if (this->isHeadRequest)
            message.body().clear();
        const Instant defaultDeadline = this->defaultWriteDeadline();
        this->stream.expires_at(
            std::max(defaultDeadline, this->deadline.value_or(defaultDeadline)));
        this->extendUserTimeout();
        const auto [code, bytes] = co_await http::async_write(this->stream, message, Await);
        this->closing = this->closing || code || !message.keep_alive();
        co_return !code;
    }

    asio::awaitable<bool> start(int status, HttpHeaders headers) override
    {
        if (this->rejectSecondResponse())
            co_return false;
        this->started = true;
        this->streaming = true;
        if (!areWritable(headers)) {
            this->abort();
            co_return false;
        }
        http::response<http::empty_body> message{finalStatus(status), 11};
        for (const auto &[name, text] : headers)
            message.insert(name, text);
        message.keep_alive(this->shouldKeepAlive());
        message.chunked(true);
        this->closing = this->closing || !message.keep_alive();
        http::response_serializer<http::empty_body> serializer{message};
        this->setWriteTimeout();
        this->extendUserTimeout();
        const auto [code, bytes] =
            co_await http::async_write_header(this->stream, serializer, Await);
        this->closing = this->closing || code;
        co_return !code;
    }

    asio::awaitable<bool> write(std::string data) override
    {
        if (data.empty())
            co_return true;
        this->setWriteTimeout();
        const auto [code, bytes] = co_await asio::async_write(
            this->stream, http::make_chunk(asio::const_buffer(data.data(), data.size())), Await);
        this->closing = this->closing || code;
        co_return !code;
    }

    asio::awaitable<bool> finish() override
    {
        this->streaming = false;
        this->setWriteTimeout();
        const auto [code, bytes] =
            co_await asio::async_write(this->stream, http::make_chunk_last(), Await);
        this->closing = this->closing || code;
        co_return !code;
    }

    void setDeadline(Instant deadline) override { this->deadline = deadline; }

    void onPeerGone(std::function<void()> callback) override
    {
        this->disconnectCallback = std::make_shared<std::function<void()>>(std::move(callback));
        this->watchForDisconnect();
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
    /// Returns the time by which the peer must have read a response that has no deadline or an
    /// earlier one.
    Instant defaultWriteDeadline() const
    {
        return clockNow() + this->server->limits.requestTimeout;
    }

    /// Raises the TCP user timeout before the first bytes of a response are sent, so that the
    /// kernel does not treat a peer that does not read as dead.
    void extendUserTimeout()
    {
        const Instant defaultDeadline = this->defaultWriteDeadline();
        setUserTimeout(this->stream.socket(),
                       std::max(defaultDeadline, this->deadline.value_or(defaultDeadline)) -
                           clockNow());
        this->userTimeoutExtended = true;
    }

    /// Sets the timeout for the write of the next part of a streamed response.
    void setWriteTimeout()
    {
        if (this->deadline)
            this->stream.expires_at(*this->deadline);
        else
            this->stream.expires_after(this->server->limits.requestTimeout);
    }

    /// Returns whether the headers of a response can be written.
    static bool areWritable(const HttpHeaders &headers)
    {
        const auto checked = checkHeaders(headers);
        if (!isOk(checked))
            spdlog::error("event=invalid_header error={:?}", error(checked).message);
        return isOk(checked);
    }

    /// Returns the status of a response; 500 in place of one that no response may have.
    static http::status finalStatus(int status)
    {
        if (httpStatusKind(status) == HttpStatusKind::Final)
            return static_cast<http::status>(status);
        spdlog::error("event=invalid_status status={} error=\"a handler gave no final status\"",
                      status);
        return http::status::internal_server_error;
    }

    /// Returns true and aborts the connection if a response to this request has already started.
    /// The peer would read another response head as part of the first response's body or as the
    /// response to its next request.
    bool rejectSecondResponse()
    {
        if (!this->started)
            return false;
        spdlog::error(
            "event=second_answer error=\"a response to this request has already started\"");
        this->abort();
        return true;
    }

    /// Gives a peer that has just connected time to send its first request, then closes the
    /// connection if nothing has arrived.
    void waitForFirstRequest()
    {
        this->graceTimer.expires_after(FirstRequestTimeout);
        this->graceTimer.async_wait(
            [this, weak = std::weak_ptr<int>(this->lifetimeToken)](beast::error_code code) {
                if (!code && weak.lock() && this->idle && !this->hasUnreadBytes())
                    this->stream.cancel();
            });
    }

    /// Sets the deadline for reading a request. The timeout of the Beast stream is not used because
    /// it would close the connection before the error response is sent.
    void startReadTimer(Instant deadline)
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
            [this, weak = std::weak_ptr<int>(this->lifetimeToken)](beast::error_code code) {
                // A wait that ended just before it was cancelled belongs to an earlier request.
                if (code || !weak.lock() || !this->reading || clockNow() < this->readDeadline)
                    return;
                this->stream.cancel();
                this->awaitReadDeadline(clockNow() + ReadCancelRetryInterval);
            });
    }

    /// Returns whether the socket has received bytes that have not been read yet.
    bool hasUnreadBytes()
    {
        auto &socket = this->stream.socket();
        char byte;
        return socket.is_open() &&
               ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    /// Returns whether the response keeps the connection open. "Connection: close" is sent only if
    /// the peer has not sent its next request yet, because that request would be dropped.
    bool shouldKeepAlive()
    {
        const bool isClosing = this->server->draining || this->server->keepAliveDisabled;
        return this->requestKeepsAlive &&
               (!isClosing || this->buffer.size() > 0 || this->hasUnreadBytes());
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
        if (std::exchange(this->userTimeoutExtended, false))
            setUserTimeout(this->stream.socket(), DeadPathTimeout);
        // The parser limits headers and bodies only. The buffer limit bounds chunk headers and
        // trailers.
        this->buffer.max_size(
            std::max(this->buffer.size(),
                     this->server->limits.headerBytes + MaxReadAheadBytes + ReadAheadChunkBytes));
        const Duration timeout = this->server->refusingIncompleteRequests
                                     ? Duration::zero()
                                     : this->server->limits.requestTimeout;
        this->startReadTimer(clockNow() + timeout);
        auto [code, bytes] =
            co_await http::async_read_header(this->stream, this->buffer, parser, Await);
        if (!code && parser.get()[http::field::expect] == "100-continue") {
            http::response<http::empty_body> proceed{http::status::continue_, 11};
            auto [writeCode, written] = co_await http::async_write(this->stream, proceed, Await);
            code = writeCode;
        }
        std::optional<MemoryBudget::Share> memory(std::in_place);
        if (this->server->bodyMemory != nullptr)
            memory.emplace(*this->server->bodyMemory);
        bool isOutOfMemory = false;
        if (!code)
            code = co_await this->readBody(parser, *memory, isOutOfMemory);
        this->reading = false;
        this->readTimer.cancel();
        if (code == asio::error::operation_aborted && clockNow() >= this->readDeadline)
            code = beast::error::timeout;
        if (code) {
            if (isRequestFault(code)) {
                this->requestKeepsAlive = false;
                const bool isTimeout = code == beast::error::timeout;
                Error reason = toRefusal(code);
                if (isTimeout && this->server->refusingIncompleteRequests)
                    reason = {ErrorKind::Draining, "the instance stops: no more is read"};
                else if (isTimeout && isOutOfMemory)
                    reason = outOfMemoryRefusal();
                HttpResponse response = this->server->refusal(reason);
                co_await this->respond(std::move(response));
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
        this->isHeadRequest = request.method == "HEAD";
        this->requestKeepsAlive = message.keep_alive();
        ++this->requests;
        if (isOutOfMemory) {
            HttpResponse response = this->server->refusal(outOfMemoryRefusal());
            co_await this->respond(std::move(response));
            co_return !this->closing;
        }
        ++this->server->inFlight;
        bool failed = false;
        try {
            co_await this->server->handler(std::move(request), *this);
        } catch (const std::exception &failure) {
            spdlog::error("event=handler_failed error={:?}", failure.what());
            failed = true;
        }
        // The objects that the callback refers to are destroyed with the handler.
        this->disconnectCallback.reset();
        this->closing = this->closing || failed;
        // A handler that returns without a response has lost its caller, so only a handler that
        // threw gets an error response.
        if (failed && !this->started) {
            this->requestKeepsAlive = false;
            HttpResponse response = this->server->refusal(
                Error{ErrorKind::Internal, "the request met an unexpected error"});
            co_await this->respond(std::move(response));
        }
        --this->server->inFlight;
        // Aborts an unfinished stream so that the peer does not treat it as complete.
        if (this->streaming)
            this->abort();
        // During a drain, only requests that the peer has already sent are still served.
        co_return !this->closing && this->started;
    }

    /// Reads the body of a request and takes its memory from the share. If there is too little, the
    /// rest is read without being kept, so that the connection stays usable.
    asio::awaitable<beast::error_code> readBody(http::request_parser<http::string_body> &parser,
                                                MemoryBudget::Share &memory, bool &isOutOfMemory)
    {
        const auto length = parser.content_length();
        isOutOfMemory = length && !memory.tryGrow(static_cast<size_t>(*length));
        size_t counted = 0;
        parser.eager(true);
        while (!parser.is_done()) {
            const auto [code, bytes] =
                co_await http::async_read_some(this->stream, this->buffer, parser, Await);
            if (code)
                co_return code;
            auto &body = parser.get().body();
            if (!length && !isOutOfMemory) {
                isOutOfMemory = !memory.tryGrow(body.size() - counted);
                counted = body.size();
            }
            if (isOutOfMemory) {
                // An assignment would keep the allocated memory.
                std::string().swap(body);
                memory.release();
            }
        }
        co_return beast::error_code{};
    }

    /// Calls the disconnect callback if the peer closes the connection while a request is handled.
    /// Bytes that arrive meanwhile are read ahead.
    void watchForDisconnect()
    {
        const std::weak_ptr<std::function<void()>> watched = this->disconnectCallback;
        this->stream.socket().async_wait(tcp::socket::wait_read,
                                         [this, watched](beast::error_code code) {
                                             // The callback lives as long as the request, and so
                                             // does the connection.
                                             const auto callback = watched.lock();
                                             if (!callback || code)
                                                 return;
                                             if (!this->readAhead())
                                                 (*callback)();
                                             else if (this->buffer.size() < MaxReadAheadBytes)
                                                 this->watchForDisconnect();
                                         });
    }

    /// Reads bytes of the next request into the buffer, because unread bytes would hide the end of
    /// the connection. Returns false if the connection has ended.
    bool readAhead()
    {
        auto &socket = this->stream.socket();
        if (!socket.is_open())
            return false;
        const auto room = this->buffer.prepare(ReadAheadChunkBytes);
        const auto size = ::recv(socket.native_handle(), room.data(), room.size(), MSG_DONTWAIT);
        if (size > 0)
            this->buffer.commit(static_cast<size_t>(size));
        return size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    }

    /// Waits for the first byte of a request. Returns false if the peer closed the connection, the
    /// idle timeout passed or the server drains.
    asio::awaitable<bool> waitForRequest()
    {
        if (this->buffer.size() > 0)
            co_return true;
        Duration timeout = this->server->limits.idleTimeout;
        if (this->server->draining && !this->hasUnreadBytes()) {
            if (this->requests > 0)
                co_return false;
            timeout = FirstRequestTimeout;
        }
        this->idle = true;
        this->stream.expires_after(timeout);
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
    // A request is being read and must be complete by readDeadline.
    bool reading = false;
    std::shared_ptr<int> lifetimeToken = std::make_shared<int>();
    // Number of requests that have been read from the connection.
    uint64_t requests = 0;
    // Callback for a disconnect of the peer; set only while a request is handled.
    std::shared_ptr<std::function<void()>> disconnectCallback;
    // The TCP user timeout is above its default, so that the peer has time to read a response.
    bool userTimeoutExtended = false;
    // Deadline of the current request; empty until the handler sets it.
    std::optional<Instant> deadline;
    bool idle = false;
    bool started = false;
    bool streaming = false;
    bool closing = false;
    bool isHeadRequest = false;
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
                       HttpRefusal refusal, MemoryBudget *bodyMemory)
    : impl(std::make_shared<Impl>(context, std::move(handler), limits, std::move(refusal),
                                  bodyMemory))
{}

HttpServer::~HttpServer()
{
    this->drain();
}

Result<Address> HttpServer::listen(const Address &address)
{
    // A pending accept may complete after the server has been destroyed.
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

void HttpServer::refuseIncompleteRequests()
{
    this->impl->refusingIncompleteRequests = true;
    const std::lock_guard lock(this->impl->mutex);
    for (auto *connection : this->impl->connections)
        connection->expireRead();
}

bool HttpServer::isDrained() const
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->closed && this->impl->connections.empty();
}

void HttpServer::disableKeepAlive()
{
    this->impl->keepAliveDisabled = true;
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
