// Data channel between an entry instance and an agent: protobuf frames behind a 4-byte big-endian
// length.
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

/// Largest frame, in bytes. A longer length is treated as a broken connection.
constexpr uint32_t MaxFrameBytes = 80u << 20;

/// One connection that carries frames of one attempt at a time. Used from one strand.
class FrameChannel
{
public:
    explicit FrameChannel(boost::asio::ip::tcp::socket socket);
    ~FrameChannel();
    FrameChannel(FrameChannel &&other) noexcept;

    /// Opens a connection. Fails with UpstreamUnreachable.
    static boost::asio::awaitable<Result<std::unique_ptr<FrameChannel>>>
    connect(boost::asio::any_io_executor executor, Address address, Duration timeout);

    /// Moves an idle channel to another executor, so that a pool can serve any strand. The channel
    /// must be usable. Null if the operating system refuses.
    static std::unique_ptr<FrameChannel> rebind(std::unique_ptr<FrameChannel> channel,
                                                boost::asio::any_io_executor executor);

    /// Next frame. Fails with Timeout after the given silence, as measured by SilenceWatch, or at
    /// the given time; StreamBroken if the connection ends or a frame is not valid.
    boost::asio::awaitable<Result<proto::Frame>> receive(Duration silence,
                                                         Instant until = Instant::max());
    /// Keeps a frame back for the next send(), which writes all of them in one piece.
    void queue(const proto::Frame &frame);
    /// Bytes of the frames that wait for the next send().
    size_t queuedBytes() const;
    /// Writes the queued frames and this one. Fails with StreamBroken or Timeout; the frames may
    /// then have arrived.
    boost::asio::awaitable<Result<Unit>> send(const proto::Frame &frame,
                                              Duration timeout = std::chrono::seconds(5));
    /// Writes the queued frames. Errors as for send().
    boost::asio::awaitable<Result<Unit>> flush(Duration timeout = std::chrono::seconds(5));
    /// True while the peer has neither closed the connection nor sent anything unasked.
    bool isUsable();
    void close();
    boost::asio::any_io_executor executor();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

/// Accepts frame channels until stopped; the handler runs on a strand of its own for each
/// connection.
class FrameServer
{
public:
    using Handler =
        std::function<boost::asio::awaitable<void>(std::shared_ptr<FrameChannel> channel)>;

    FrameServer(boost::asio::io_context &context, Handler handler);

    /// Binds and starts to accept; returns the bound address.
    Result<Address> listen(const Address &address) { return this->listener.listen(address); }
    /// Stops to accept. Open channels go on.
    void stop() { this->listener.close(); }

private:
    Listener listener;
};

} // namespace tray
