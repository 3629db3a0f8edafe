// HTTP/1.1 client on Boost.Beast: connection pool, request writing and streamed response bodies.
#include "net/HttpClient.h"

#include "base/Hash.h"
#include "base/HttpStatus.h"
#include "net/SentCalls.h"
#include "net/SocketOptions.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <fmt/format.h>
#include <map>
#include <mutex>

namespace tray {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

// Maximum number of idle connections per address, and over all addresses. Further ones are closed
// after use.
constexpr size_t MaxIdleConnections = 64;
constexpr size_t MaxIdleConnectionsInAll = 1024;
// Time between two searches for connections that have been idle for too long.
constexpr auto PoolSweepPeriod = std::chrono::seconds(1);
// Time before the peer's announced idle timeout from which an idle connection is no longer used, so
// that a request is not sent while the peer closes the connection.
constexpr auto IdleTimeoutMargin = std::chrono::milliseconds(1200);
// Maximum number of responses to earlier calls that are skipped on one connection before the call
// fails.
constexpr int MaxUnrelatedResponses = 4;
// Size of the buffer for one read of a body, in bytes.
constexpr size_t ReadBufferBytes = 8192;

struct Connection
{
    Connection(const asio::any_io_executor &executor, uint64_t number, Instant openedAt)
        : stream(executor), number(number), openedAt(openedAt)
    {}

    beast::tcp_stream stream;
    // The limit bounds a response head, chunk header or trailer section that never ends.
    beast::flat_buffer buffer{HttpClient::MaxHeadBytes};
    // Incremented when a call takes the connection and when it returns it to the pool.
    uint64_t useCount = 0;
    const uint64_t number;
    const Instant openedAt;
    // Calls that have begun on the connection.
    uint64_t callCount = 0;
    Instant idleSince;
    // Idle timeout of the peer, from its Keep-Alive header.
    Duration peerIdleTimeout = std::chrono::hours(1);
};

/// Reads the peer's idle timeout from "timeout=N" (seconds) of a Keep-Alive header.
void readKeepAliveTimeout(Connection &connection, std::string_view text)
{
    const auto at = text.find("timeout=");
    if (at == std::string_view::npos)
        return;
    int seconds = 0;
    const auto digits = text.substr(at + 8);
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec == std::errc{})
        connection.peerIdleTimeout = std::chrono::seconds(seconds);
}

/// Returns whether the peer has neither closed an idle connection nor sent unexpected bytes on it.
bool isUsable(Connection &connection)
{
    char byte;
    const auto size =
        ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Error failure(beast::error_code code, const std::string &what)
{
    if (code == beast::error::timeout)
        return {ErrorKind::Timeout, what + " did not answer in time"};
    return {ErrorKind::UpstreamFailed, what + ": " + code.message()};
}

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl>
{
    explicit Impl(asio::io_context &context) : context(context) {}

    /// Records that a call takes the connection.
    ConnectionUse beginCall(const std::string &key, Connection &connection, uint64_t callDigest)
    {
        ConnectionUse use{connection.number, connection.callCount++};
        if (callDigest == 0)
            return use;
        const uint64_t call = hash64(key, callDigest);
        const std::lock_guard lock(this->mutex);
        use.hasCarriedId = this->sentCalls.contains(call, connection.number);
        use.wasIdSentBefore = this->sentCalls.contains(call);
        this->sentCalls.record(call, connection.number, std::chrono::steady_clock::now());
        return use;
    }

    /// Whether all calls that the connection has carried are remembered. Call this with the mutex
    /// locked.
    bool areCallsKnown(const Connection &connection) const
    {
        return connection.openedAt > this->sentCalls.forgottenUntil();
    }

    std::shared_ptr<Connection> takeIdleConnection(const std::string &key, Duration maxIdle,
                                                   uint64_t callDigest)
    {
        const uint64_t call = hash64(key, callDigest);
        const std::lock_guard lock(this->mutex);
        const auto found = this->idle.find(key);
        if (found == this->idle.end())
            return nullptr;
        auto &list = found->second;
        for (auto it = list.end(); it != list.begin();) {
            --it;
            if (callDigest != 0 && this->sentCalls.contains(call, (*it)->number))
                continue;
            const auto connection = *it;
            it = list.erase(it);
            --this->idleCount;
            const auto idleTime = std::chrono::steady_clock::now() - connection->idleSince;
            if (this->areCallsKnown(*connection) && idleTime < maxIdle &&
                idleTime + IdleTimeoutMargin < connection->peerIdleTimeout && isUsable(*connection))
                return connection;
        }
        return nullptr;
    }

    void returnToPool(const std::string &key, std::shared_ptr<Connection> connection)
    {
        connection->stream.expires_never();
        ++connection->useCount;
        const Instant now = std::chrono::steady_clock::now();
        connection->idleSince = now;
        const std::lock_guard lock(this->mutex);
        this->sweep(now);
        if (!this->areCallsKnown(*connection))
            return;
        auto &list = this->idle[key];
        if (list.size() >= MaxIdleConnections || this->idleCount >= MaxIdleConnectionsInAll)
            return;
        list.push_back(std::move(connection));
        ++this->idleCount;
    }

    /// Closes the connections that no call may use any more. Addresses that no call uses again keep
    /// none. Call this with the mutex locked.
    void sweep(Instant now)
    {
        if (now < this->sweptAt + PoolSweepPeriod)
            return;
        this->sweptAt = now;
        for (auto it = this->idle.begin(); it != this->idle.end();) {
            this->idleCount -= std::erase_if(it->second, [&](const auto &connection) {
                return now - connection->idleSince >= MaxPooledIdleTime;
            });
            it = it->second.empty() ? this->idle.erase(it) : std::next(it);
        }
    }

    asio::awaitable<Result<std::shared_ptr<Connection>>>
    connect(const Address &address, Instant deadline, HttpCallOptions options)
    {
        auto pooled =
            options.exclusive
                ? nullptr
                : this->takeIdleConnection(toString(address), options.maxIdle, options.callDigest);
        if (pooled) {
            this->attach(options, pooled);
            co_return pooled;
        }
        const Duration timeout =
            std::min<Duration>(deadline - std::chrono::steady_clock::now(), options.connectTimeout);
        beast::error_code code;
        auto connection = co_await this->dial(address, timeout, options, code);
        if (code)
            co_return Error{ErrorKind::UpstreamUnreachable,
                            toString(address) + ": " + code.message()};
        co_return connection;
    }

    /// Opens a new connection. The code is set if that fails.
    asio::awaitable<std::shared_ptr<Connection>>
    dial(Address address, Duration timeout, HttpCallOptions options, beast::error_code &code)
    {
        auto connection = std::make_shared<Connection>(
            this->context.get_executor(), ++this->dialled, std::chrono::steady_clock::now());
        const tcp::endpoint endpoint(asio::ip::make_address(address.host, code), address.port);
        connection->stream.expires_after(timeout);
        this->attach(options, connection);
        if (!code)
            std::tie(code) = co_await connection->stream.async_connect(endpoint, Await);
        if (code)
            co_return connection;
        setUpSocket(connection->stream.socket());
        // A close drops the bytes that the peer has not received by then, however the call ends.
        beast::error_code ignored;
        connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        co_return connection;
    }

    /// Connects the call's HttpCancel to its connection, so that cancel() closes the connection.
    static void attach(const HttpCallOptions &options,
                       const std::shared_ptr<Connection> &connection);

    asio::io_context &context;
    std::atomic<uint64_t> dialled{0};
    std::mutex mutex;
    std::map<std::string, std::vector<std::shared_ptr<Connection>>> idle;
    // Number of connections in all lists.
    size_t idleCount = 0;
    SentCalls sentCalls;
    Instant sweptAt{};
};

namespace {

http::request<http::string_body> toMessage(const Address &address, HttpRequest request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    if (findHeader(request.headers, "Host").empty())
        message.set(http::field::host, toString(address));
    for (const auto &[name, text] : request.headers)
        message.insert(name, text);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

template <typename Message>
HttpHeaders toHeaders(const Message &message)
{
    HttpHeaders headers;
    for (const auto &field : message)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

} // namespace

namespace {

class BeastStream : public HttpStream
{
public:
    BeastStream(std::function<void(std::shared_ptr<Connection>)> returnToPool,
                std::shared_ptr<Connection> connection, ConnectionUse use)
        : returnToPool(std::move(returnToPool)), connection(std::move(connection)), use(use)
    {
        this->parser->body_limit(boost::none);
    }

    ~BeastStream() override
    {
        // A connection with bytes after the end of the response is not reused: they belong to no
        // call.
        if (this->connection && this->isComplete && this->parser->get().keep_alive() &&
            this->connection->buffer.size() == 0 && this->connection->stream.socket().is_open())
            this->returnToPool(std::move(this->connection));
        else if (this->connection)
            this->connection->stream.close();
    }

    asio::awaitable<beast::error_code>
    readHeader(Instant deadline, decltype(HttpCallOptions::matchesCall) matchesCall)
    {
        for (int unrelated = 0; unrelated <= MaxUnrelatedResponses; ++unrelated) {
            // The connection is not reused if no valid head follows.
            this->isComplete = false;
            this->connection->stream.expires_at(deadline);
            const auto [code, bytes] = co_await http::async_read_header(
                this->connection->stream, this->connection->buffer, *this->parser, Await);
            if (code)
                co_return code;
            const auto kind = httpStatusKind(this->status());
            // Beast accepts any three digits.
            if (kind == HttpStatusKind::Invalid)
                co_return make_error_code(http::error::bad_status);
            this->fields = toHeaders(this->parser->get());
            this->isComplete = this->parser->is_done();
            // An interim response is followed by the response itself.
            if (kind == HttpStatusKind::Interim) {
                this->parser.emplace();
                this->parser->body_limit(boost::none);
                continue;
            }
            if (!matchesCall || matchesCall(this->status(), this->fields, this->use)) {
                readKeepAliveTimeout(*this->connection,
                                     this->parser->get()[http::field::keep_alive]);
                co_return code;
            }
            while (!this->isComplete) {
                auto piece = co_await this->read(deadline - std::chrono::steady_clock::now());
                if (!isOk(piece))
                    co_return make_error_code(http::error::partial_message);
            }
            this->parser.emplace();
            this->parser->body_limit(boost::none);
        }
        co_return make_error_code(http::error::unexpected_body);
    }

    int status() const override { return this->parser->get().result_int(); }

    const HttpHeaders &headers() const override { return this->fields; }

    bool endsWithConnection() const override { return this->parser->get().need_eof(); }

    const ConnectionUse &connectionUse() const override { return this->use; }

    asio::awaitable<Result<std::string>> read(Duration inactivityTimeout) override
    {
        while (!this->isComplete) {
            // The timeout of the Beast stream does not end a read while received bytes are ready.
            if (inactivityTimeout <= Duration::zero())
                co_return Error{ErrorKind::StreamBroken, "the time to read the answer is over"};
            std::string piece(ReadBufferBytes, '\0');
            this->parser->get().body().data = piece.data();
            this->parser->get().body().size = piece.size();
            this->connection->stream.expires_after(inactivityTimeout);
            auto [code, bytes] = co_await http::async_read_some(
                this->connection->stream, this->connection->buffer, *this->parser, Await);
            if (code == http::error::need_buffer)
                code = {};
            piece.resize(piece.size() - this->parser->get().body().size);
            if (code)
                co_return Error{ErrorKind::StreamBroken,
                                "the stream ended early: " + code.message()};
            this->isComplete = this->parser->is_done();
            if (!piece.empty())
                co_return piece;
        }
        co_return std::string();
    }

private:
    std::function<void(std::shared_ptr<Connection>)> returnToPool;
    std::shared_ptr<Connection> connection;
    const ConnectionUse use;
    // A new parser is created for each response that is read from the connection.
    std::optional<http::response_parser<http::buffer_body>> parser{std::in_place};
    HttpHeaders fields;
    bool isComplete = false;
};

} // namespace

void HttpClient::Impl::attach(const HttpCallOptions &options,
                              const std::shared_ptr<Connection> &connection)
{
    ++connection->useCount;
    if (!options.cancel)
        return;
    const std::weak_ptr<Connection> weak = connection;
    options.cancel->closeConnection = [weak, useCount = connection->useCount] {
        const auto open = weak.lock();
        if (open && open->useCount == useCount)
            open->stream.close();
    };
}

std::string describe(const ConnectionUse &use)
{
    std::string_view kind = "new";
    if (use.hasCarriedId)
        kind = "same_id";
    else if (use.wasIdSentBefore)
        kind = "sent_before";
    else if (use.isReused())
        kind = "reused";
    return fmt::format("{}/c{}.{}", kind, use.connection, use.earlierCalls + 1);
}

void HttpCancel::cancel()
{
    this->cancelled = true;
    if (this->closeConnection)
        this->closeConnection();
}

void HttpClient::forget(const Address &address)
{
    const std::lock_guard lock(this->impl->mutex);
    const auto found = this->impl->idle.find(toString(address));
    if (found == this->impl->idle.end())
        return;
    this->impl->idleCount -= found->second.size();
    this->impl->idle.erase(found);
}

size_t HttpClient::pooled() const
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->idleCount;
}

uint64_t HttpClient::dialled() const
{
    return this->impl->dialled;
}

HttpClient::HttpClient(asio::io_context &context) : impl(std::make_shared<Impl>(context)) {}

HttpClient::~HttpClient() = default;

asio::awaitable<ProbeResult> HttpClient::probe(Address address, Duration timeout)
{
    const auto self = this->impl;
    const HttpCallOptions options;
    beast::error_code code;
    const auto connection = co_await self->dial(address, timeout, options, code);
    if (!code) {
        self->returnToPool(toString(address), connection);
        co_return ProbeResult::Accepted;
    }
    if (code == asio::error::connection_refused)
        co_return ProbeResult::Refused;
    co_return code == asio::error::connection_reset ? ProbeResult::Reset : ProbeResult::Silent;
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>>
HttpClient::open(Address address, HttpRequest request, Duration timeout, HttpCallOptions options)
{
    const auto self = this->impl;
    if (options.cancel && options.cancel->isCancelled())
        co_return Error{ErrorKind::Cancelled, "the call was cancelled before it began"};
    if (const auto checked = checkHead(request); !isOk(checked))
        co_return error(checked);
    const Instant deadline = std::chrono::steady_clock::now() + timeout;
    auto connected = co_await self->connect(address, deadline, options);
    if (!isOk(connected))
        co_return error(connected);
    auto connection = value(std::move(connected));
    const std::string key = toString(address);
    const ConnectionUse use = self->beginCall(key, *connection, options.callDigest);
    auto message = toMessage(address, std::move(request));
    connection->stream.expires_at(deadline);
    const auto [code, bytes] = co_await http::async_write(connection->stream, message, Await);
    if (code)
        co_return failure(code, toString(address));
    // The response may take long, and large bodies of many calls would add up.
    std::string().swap(message.body());
    auto stream = std::make_unique<BeastStream>(
        [self, key, exclusive = options.exclusive](std::shared_ptr<Connection> finished) {
            if (!exclusive)
                self->returnToPool(key, std::move(finished));
        },
        std::move(connection), use);
    const auto headerCode = co_await stream->readHeader(deadline, options.matchesCall);
    if (headerCode)
        co_return failure(headerCode, toString(address));
    co_return std::unique_ptr<HttpStream>(std::move(stream));
}

asio::awaitable<Result<HttpResponse>> HttpClient::request(Address address, HttpRequest request,
                                                          Duration timeout, HttpCallOptions options)
{
    const Instant deadline = std::chrono::steady_clock::now() + timeout;
    auto opened = co_await this->open(address, std::move(request), timeout, options);
    if (!isOk(opened))
        co_return error(opened);
    auto &stream = *value(opened);
    HttpResponse response;
    response.status = stream.status();
    response.headers = stream.headers();
    while (true) {
        auto piece = co_await stream.read(deadline - std::chrono::steady_clock::now());
        if (!isOk(piece))
            co_return Error{ErrorKind::UpstreamFailed, error(piece).message};
        if (value(piece).empty())
            co_return response;
        response.body += value(piece);
        if (response.body.size() > MaxBodyBytes)
            co_return Error{ErrorKind::UpstreamFailed,
                            toString(address) + ": the answer does not end"};
    }
}

} // namespace tray
