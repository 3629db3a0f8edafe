// HTTP server on Boost.Beast with one coroutine per connection. Handlers send complete or streamed
// responses.
#pragma once

#include "base/Address.h"
#include "base/Time.h"
#include "net/HttpMessage.h"
#include "net/MemoryBudget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace tray {

/// Size limits for requests, and timeouts.
struct HttpServerLimits
{
    /// Maximum size of the request header, in bytes. Larger headers get status 431, as do chunk
    /// headers and trailers that exceed this limit plus the bytes that are read ahead.
    uint32_t headerBytes = 16384;
    /// Maximum size of the request body, in bytes. Larger bodies get status 413.
    uint64_t bodyBytes = 1048576;
    /// Maximum time to receive a request after its first byte, and to write a response without a
    /// deadline or one part of it.
    Duration requestTimeout = std::chrono::seconds(5);
    /// Maximum idle time of a connection.
    Duration idleTimeout = std::chrono::seconds(60);
};

/// Sends the response to one request: call respond() once, or start(), then write() any number of
/// times, then finish(). All of them return false once the peer has disconnected. An attempt to
/// send a second response closes the connection.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;
    virtual boost::asio::awaitable<bool> start(int status, HttpHeaders headers) = 0;
    virtual boost::asio::awaitable<bool> write(std::string data) = 0;
    virtual boost::asio::awaitable<bool> finish() = 0;
    /// Sets the time by which the peer must have read the response. A streamed response is not
    /// written after the deadline; a complete response gets at least the server's requestTimeout.
    virtual void setDeadline(Instant deadline) = 0;
    /// Returns whether a response has been started or sent.
    virtual bool isStarted() const = 0;
    /// Returns whether the peer has closed its connection. Does not wait.
    virtual bool isPeerGone() = 0;
    /// Registers a callback that runs once if the peer closes the connection, or its sending half,
    /// before the handler of this request has finished.
    virtual void onPeerGone(std::function<void()> callback) = 0;
    /// Closes the connection without finishing the response, so that the peer sees a broken stream.
    virtual void abort() = 0;
};

using HttpHandler =
    std::function<boost::asio::awaitable<void>(HttpRequest request, HttpResponder &responder)>;

/// Creates the response to a request that is refused before it reaches the handler, or whose
/// handler threw. The kind of the reason is, for example, BadRequest, HeaderTooLarge, BodyTooLarge,
/// OutOfMemory, RequestTimeout or Draining.
using HttpRefusal = std::function<HttpResponse(const Error &reason)>;

/// Listens on an address and serves its connections until it is drained.
class HttpServer
{
public:
    /// If a budget is given, the bodies of requests take their memory from it until their handler
    /// has ended; requests for which none is left are refused with ErrorKind::OutOfMemory. The
    /// context then runs on one thread, and the budget lives as long as the server.
    HttpServer(boost::asio::io_context &context, HttpHandler handler, HttpServerLimits limits = {},
               HttpRefusal refusal = {}, MemoryBudget *bodyMemory = nullptr);
    ~HttpServer();

    /// Binds and starts accepting connections; port 0 selects a free port. Returns the bound
    /// address.
    Result<Address> listen(const Address &address);
    /// Stops accepting connections, closes idle ones and lets requests finish, including those that
    /// peers have sent but the server has not read yet. Responses then carry "Connection: close".
    void drain();
    /// Refuses requests that have not been received completely with ErrorKind::Draining and closes
    /// their connections. From then on, only bytes that have already arrived are read. Meant for
    /// the end of a graceful shutdown.
    void refuseIncompleteRequests();
    /// Returns whether the drain is complete and no connection is left.
    bool isDrained() const;
    /// Adds "Connection: close" to all further responses, so that peers reconnect to other
    /// instances.
    void disableKeepAlive();
    /// Replaces the limits. Connections use them from their next request on.
    void setLimits(HttpServerLimits limits);
    /// Number of requests whose handler has started and not yet finished.
    size_t inFlight() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
