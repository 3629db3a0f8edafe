// Stub of an upstream that sends scripted bytes and can stall, close or reset its connections.
#pragma once

#include "base/Address.h"
#include "base/Time.h"
#include "net/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace tray::test {

/// Scripted reply of an upstream to one request.
struct StubReply
{
    /// Sent unchanged after the delay.
    std::string bytes;
    Duration delay{};
    /// Sent on the same connection once its next request has arrived, before the reply to that one.
    std::string lateBytes;
    /// The late bytes are sent once the next request has arrived on any connection.
    bool isLateAnywhere = false;
    /// After the bytes, the connection is closed orderly (close) or by a reset (reset).
    bool close = false;
    bool reset = false;
    /// Sends nothing more until the other side disconnects.
    bool hang = false;
    /// Sent repeatedly after the bytes and pieces, until the other side closes the connection.
    std::string repeatedBytes;
    /// Sent after the bytes and before the repeated bytes, each after the pause.
    std::vector<std::string> pieces;
    /// Time before each piece and before each repetition of the repeated bytes.
    Duration pieceDelay{};
    /// Ends the upstream as a crash does, after the bytes and the crash delay: all its connections
    /// are reset, and new ones are refused until it has restarted after this time.
    std::optional<Duration> crashFor;
    Duration crashDelay{};
};

class StubUpstream
{
public:
    using Behaviour = std::function<StubReply(const HttpRequest &request)>;

    StubUpstream(boost::asio::io_context &context, Behaviour behaviour);

    Address listen();
    /// Received requests, in the order of their arrival.
    std::vector<HttpRequest> received;
    /// Number of connections that the other side closed while a reply was stalled.
    int closedByPeer = 0;
    /// Repeated bytes that were sent before the other side closed the connection, over all
    /// requests.
    size_t repeatedBytesSent = 0;
    /// Time at which the other side last closed a connection while it was sent repeated bytes.
    std::optional<Instant> repeatedBytesEndedAt;

    /// Returns a sealed answer to a request, with its Content-Length.
    static std::string sealedAnswer(const HttpRequest &request, int status,
                                    const std::string &body);
    /// As sealedAnswer(), with one more header.
    static std::string sealedAnswer(const HttpRequest &request, int status, const std::string &body,
                                    const std::string &headerLine);
    /// Returns the head of a sealed event stream in chunked encoding.
    static std::string sealedStreamHead(const HttpRequest &request);
    /// As sealedStreamHead(), of a stream that ends with its connection.
    static std::string sealedUnframedHead(const HttpRequest &request);
    static std::string encodeChunk(const std::string &data);

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket> connection);
    boost::asio::awaitable<void> wait(Duration duration);
    /// Resets all connections, closes the port, and opens it again after the time.
    boost::asio::awaitable<void> crash(Duration downTime);
    void open(uint16_t port);

    boost::asio::io_context &context;
    Behaviour behaviour;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> connections;
    // Late bytes for the connection on which the next request arrives.
    std::string lateBytesAnywhere;
};

} // namespace tray::test
