// Stand-in for an upstream that answers with any bytes, and may hang, cut or answer twice.
#pragma once

#include "base/Address.h"
#include "base/Time.h"
#include "net/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <vector>

namespace tray::test {

/// What an upstream does with one request.
struct UpstreamReply
{
    /// Written as they are.
    std::string bytes;
    Duration delay{};
    /// The connection ends after the bytes, in order or by a reset.
    bool close = false;
    bool reset = false;
    /// No further byte until the caller has left.
    bool hang = false;
    /// Sent again and again after the bytes, until the other side closes.
    std::string endless;
    /// Sent after the bytes and before the endless ones, each after the pause.
    std::vector<std::string> pieces;
    /// Time before each piece and before each repetition of the endless bytes.
    Duration pause{};
};

class UpstreamStandIn
{
public:
    using Behaviour = std::function<UpstreamReply(const HttpRequest &request)>;

    UpstreamStandIn(boost::asio::io_context &context, Behaviour behaviour);

    Address listen();
    /// Requests that were received, in order.
    std::vector<HttpRequest> received;
    /// Connections that the other side ended while a request hung.
    int abandoned = 0;
    /// Endless bytes that the other side took before it closed.
    size_t endlessBytes = 0;
    /// When the other side last ended a connection that was sent endless bytes.
    std::optional<Instant> endlessEndedAt;

    /// A signed answer to a request, with its length.
    static std::string answerTo(const HttpRequest &request, int status, const std::string &body);
    /// Head of a signed stream of events in chunks, and one chunk.
    static std::string streamHeadFor(const HttpRequest &request);
    static std::string chunkOf(const std::string &data);

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> wait(Duration duration);

    boost::asio::io_context &context;
    Behaviour behaviour;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace tray::test
