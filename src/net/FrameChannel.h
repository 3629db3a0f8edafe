// Data channel between an entry instance and an agent: protobuf frames, each preceded by its length
// as a 4-byte big-endian integer.
#pragma once

#include "base/Address.h"
#include "base/Time.h"
#include "net/Listener.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace tray {

namespace proto {
class Frame;
}

/// Maximum frame size, in bytes. A larger length is treated as a broken connection.
constexpr uint32_t MaxFrameBytes = 80u << 20;

/// A connection that carries the frames of one attempt at a time. Must be used from one strand.
class FrameChannel
{
public:
    explicit FrameChannel(boost::asio::ip::tcp::socket socket);
    ~FrameChannel();
    FrameChannel(FrameChannel &&other) noexcept;

    /// Opens a connection. Fails with UpstreamUnreachable.
    static boost::asio::awaitable<Result<std::unique_ptr<FrameChannel>>>
    connect(boost::asio::any_io_executor executor, Address address, Duration timeout);

    /// Moves an idle channel to another executor, so that pooled channels can be used from any
    /// strand. The channel must be usable. Returns null if the operating system reports an error.
    static std::unique_ptr<FrameChannel> rebind(std::unique_ptr<FrameChannel> channel,
                                                boost::asio::any_io_executor executor);

    /// Receives the next frame. Fails with Timeout if nothing arrives within the inactivity
    /// timeout, as measured by InactivityTimer, or at the deadline; fails with StreamBroken if the
    /// connection ends or a frame is not valid.
    boost::asio::awaitable<Result<proto::Frame>> receive(Duration inactivityTimeout,
                                                         Instant deadline = Instant::max());
    /// Queues a frame for the next send() or flush(), which writes all queued frames together.
    void queue(const proto::Frame &frame);
    /// Size of the queued frames, in bytes.
    size_t queuedBytes() const;
    /// Writes the queued frames and this one. Fails with StreamBroken or Timeout, in which case the
    /// frames may nevertheless have arrived.
    boost::asio::awaitable<Result<Unit>> send(const proto::Frame &frame,
                                              Duration timeout = std::chrono::seconds(5));
    /// Writes the queued frames. Errors as for send().
    boost::asio::awaitable<Result<Unit>> flush(Duration timeout = std::chrono::seconds(5));
    /// Returns whether the peer has neither closed the connection nor sent unexpected bytes.
    bool isUsable();
    void close();
    boost::asio::any_io_executor executor();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

/// Accepts frame channels until it is stopped. The handler of each connection runs on its own
/// strand.
class FrameServer
{
public:
    using Handler =
        std::function<boost::asio::awaitable<void>(std::shared_ptr<FrameChannel> channel)>;

    FrameServer(boost::asio::io_context &context, Handler handler);

    /// Binds and starts accepting connections. Returns the bound address.
    Result<Address> listen(const Address &address) { return this->listener.listen(address); }
    /// Stops accepting connections. Open channels stay open.
    void stop() { this->listener.close(); }

private:
    Listener listener;
};

} // namespace tray
