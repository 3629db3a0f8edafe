// HTTP client on Boost.Beast with a pool of kept-alive connections for each address.
#pragma once

#include "base/Address.h"
#include "base/Time.h"
#include "net/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace tray {

/// Answer whose body arrives in pieces. Destroying it before the end closes the connection, which
/// tells the peer to cancel.
class HttpStream
{
public:
    virtual ~HttpStream() = default;

    virtual int status() const = 0;
    virtual const HttpHeaders &headers() const = 0;
    /// Next piece of the body; empty at the mark of a whole body. Fails with StreamBroken if the
    /// connection ends or stays silent for the time given, so a cut body is never taken for whole.
    /// A body without a length is whole when the peer closes in order.
    virtual boost::asio::awaitable<Result<std::string>> read(Duration silence) = 0;
};

/// Ends a call from outside: its connection is closed at once, so that the peer sees the cancel.
class HttpCancel
{
public:
    /// Closes the connection of the call; a call that begins later fails at once.
    void cancel();
    bool isCancelled() const { return this->cancelled; }
    /// Set by the client once the call has a connection.
    std::function<void()> closeConnection;

private:
    bool cancelled = false;
};

/// Choices for one call.
struct HttpCallOptions
{
    /// Kept connections that have been idle for longer are not used; 0 always dials afresh.
    Duration maxIdle = std::chrono::seconds(10);
    /// Longest time to establish a connection.
    Duration connectTimeout = std::chrono::seconds(60);
    /// Ends the call from outside; may be empty.
    std::shared_ptr<HttpCancel> cancel;
    /// Tells whether an answer belongs to this call. Others, which the peer sent late for earlier
    /// calls, are read and dropped. Empty takes every answer.
    std::function<bool(const HttpHeaders &)> isOurs;
};

/// Sends requests. Safe to use from any thread; each call runs on the caller's executor.
/// Connections are closed by a reset: a request that was given up does not reach a peer later that
/// has not taken all of it yet.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();

    /// Largest body of an answer that request() takes: the largest configuration several times
    /// over.
    static constexpr size_t MaxBodyBytes = 16u << 20;
    /// Largest head, chunk head or set of trailers of any answer.
    static constexpr size_t MaxHeadBytes = 64u << 10;

    /// Sends a request and waits for the whole answer.
    /// Fails with UpstreamUnreachable if nothing was sent (the request did not run), otherwise with
    /// Timeout or UpstreamFailed (it may have run). A request is never sent twice. An answer that
    /// does not end within its limits fails as well, and its connection is closed.
    boost::asio::awaitable<Result<HttpResponse>> request(Address address, HttpRequest request,
                                                         Duration timeout);

    /// Sends a request and returns once the header of the answer is there. Errors as for request().
    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>>
    open(Address address, HttpRequest request, Duration timeout, HttpCallOptions options = {});

    /// Closes the kept connections to an address.
    void forget(const Address &address);
    /// Connections dialled since the start.
    uint64_t dialled() const;

private:
    struct Impl;

    std::shared_ptr<Impl> impl;
};

} // namespace tray
