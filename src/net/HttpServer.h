// HTTP server on Boost.Beast. One coroutine a connection; handlers answer whole or as a stream.
#pragma once

#include "base/Address.h"
#include "base/Time.h"
#include "net/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace tray {

/// Limits of the server's input and waits.
struct HttpServerLimits
{
    /// Largest request header, in bytes; more is answered with 431. So are chunk headers and
    /// trailers that exceed this and the bytes that are read ahead.
    uint32_t headerBytes = 16384;
    /// Largest request body, in bytes; more is answered with 413.
    uint64_t bodyBytes = 1048576;
    /// Longest time to receive a request once its first byte is there, and to write an answer, or a
    /// piece of it, that has no deadline.
    Duration requestTimeout = std::chrono::seconds(5);
    /// Longest time that a connection may stay idle.
    Duration idleTimeout = std::chrono::seconds(60);
};

/// Sends the answer to one request: respond() once, or start(), write() any number of times, and
/// finish(). All calls return false once the peer is gone. A second answer closes the connection.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;
    virtual boost::asio::awaitable<bool> start(int status, HttpHeaders headers) = 0;
    virtual boost::asio::awaitable<bool> write(std::string data) = 0;
    virtual boost::asio::awaitable<bool> finish() = 0;
    /// The caller may take until then to read the answer. A stream is not written any further; a
    /// whole answer still gets the server's usual time.
    virtual void setDeadline(Instant deadline) = 0;
    /// An answer has been started or sent.
    virtual bool isStarted() const = 0;
    /// True once the peer has closed its connection; checks without waiting.
    virtual bool isPeerGone() = 0;
    /// Calls back once if the peer closes its connection, or its sending half, before this request
    /// is answered.
    virtual void onPeerGone(std::function<void()> callback) = 0;
    /// Closes the connection without finishing the answer, so that the peer sees a broken stream.
    virtual void abort() = 0;
};

using HttpHandler =
    std::function<boost::asio::awaitable<void>(HttpRequest request, HttpResponder &responder)>;

/// Makes the answer to a request that was refused before it reached the handler. The reason is a
/// kind such as BadRequest, HeaderTooLarge, BodyTooLarge, RequestTimeout or Draining.
using HttpRefusal = std::function<HttpResponse(const Error &reason)>;

/// Listens on an address and serves connections until stopped.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpHandler handler, HttpServerLimits limits = {},
               HttpRefusal refusal = {});
    ~HttpServer();

    /// Binds and starts to accept; port 0 takes any free port. Returns the bound address.
    Result<Address> listen(const Address &address);
    /// Stops to accept, closes idle connections and lets requests finish, also those that were sent
    /// but not read yet. Answers then carry "Connection: close".
    void drain();
    /// Refuses the requests that are not read whole, as Draining, and closes their connections;
    /// from then on only what has arrived already is read. For the end of a stop.
    void refuseUnread();
    /// The drain is complete: no connection is left.
    bool isDrained() const;
    /// Puts "Connection: close" on all further answers, so that peers move elsewhere by themselves.
    void beginLeaving();
    /// Replaces the limits; connections use them from their next request on.
    void setLimits(HttpServerLimits limits);
    /// Requests in flight.
    size_t inFlight() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
