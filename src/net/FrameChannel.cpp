// Frame encoding, buffering and timeouts on a TCP connection.
#include "net/FrameChannel.h"

#include "net/InactivityTimer.h"

#include "dataplane.pb.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace tray {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

} // namespace

struct FrameChannel::Impl : std::enable_shared_from_this<FrameChannel::Impl>
{
    explicit Impl(tcp::socket socket)
        : socket(std::move(socket)), checkTimer(this->socket.get_executor())
    {}

    /// Schedules the next check of a pending read. A check closes the socket if the peer has been
    /// inactive for the timeout or the deadline has passed, and has no effect unless the read with
    /// this sequence number is still pending.
    void scheduleCheck(uint64_t sequence, InactivityTimer inactivity, Instant deadline)
    {
        this->checkTimer.expires_at(std::min(inactivity.nextCheckAt(), deadline));
        this->checkTimer.async_wait([weak = this->weak_from_this(), sequence, inactivity,
                                     deadline](beast::error_code code) mutable {
            const auto self = weak.lock();
            if (code || !self || self->readSequence != sequence)
                return;
            const Instant now = clockNow();
            const bool isInactive = inactivity.isExpired() && !self->hasUnreadBytes();
            if (!isInactive && now < deadline) {
                inactivity.recordCheck(now);
                self->scheduleCheck(sequence, inactivity, deadline);
                return;
            }
            self->hasTimedOut = true;
            beast::error_code ignored;
            self->socket.close(ignored);
        });
    }

    /// Returns whether bytes have arrived that the pending read has not taken yet.
    bool hasUnreadBytes()
    {
        beast::error_code code;
        return this->socket.available(code) > 0 && !code;
    }

    tcp::socket socket;
    asio::steady_timer checkTimer;
    // Sequence number of the pending read. Incremented when the read ends, so that later checks for
    // it have no effect.
    uint64_t readSequence = 0;
    bool hasTimedOut = false;
    std::string readBuffer;
    size_t readPosition = 0;
    size_t bufferEnd = 0;
    // Serialized frames that are written by the next send() or flush().
    std::string queued;
};

FrameChannel::FrameChannel(tcp::socket socket) : impl(std::make_shared<Impl>(std::move(socket)))
{
    beast::error_code ignored;
    this->impl->socket.set_option(tcp::no_delay(true), ignored);
    this->impl->readBuffer.resize(16384);
}

FrameChannel::~FrameChannel() = default;

FrameChannel::FrameChannel(FrameChannel &&other) noexcept = default;

asio::awaitable<Result<std::unique_ptr<FrameChannel>>>
FrameChannel::connect(asio::any_io_executor executor, Address address, Duration timeout)
{
    beast::error_code code;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, code), address.port);
    beast::tcp_stream stream(executor);
    stream.expires_after(timeout);
    if (!code)
        std::tie(code) = co_await stream.async_connect(endpoint, Await);
    if (code)
        co_return Error{ErrorKind::UpstreamUnreachable, toString(address) + ": " + code.message()};
    stream.expires_never();
    co_return std::make_unique<FrameChannel>(stream.release_socket());
}

std::unique_ptr<FrameChannel> FrameChannel::rebind(std::unique_ptr<FrameChannel> channel,
                                                   asio::any_io_executor executor)
{
    beast::error_code code;
    auto &socket = channel->impl->socket;
    const auto protocol = socket.local_endpoint(code).protocol();
    if (code)
        return nullptr;
    const auto handle = socket.release(code);
    if (code)
        return nullptr;
    tcp::socket moved(executor);
    moved.assign(protocol, handle, code);
    if (code) {
        ::close(handle);
        return nullptr;
    }
    return std::make_unique<FrameChannel>(std::move(moved));
}

asio::awaitable<Result<proto::Frame>> FrameChannel::receive(Duration inactivityTimeout,
                                                            Instant deadline)
{
    auto &state = *this->impl;
    const auto channelError = [](const std::string &what) {
        return Error{ErrorKind::StreamBroken, "the data channel broke: " + what};
    };
    size_t frameBytes = 4;
    while (true) {
        if (state.bufferEnd - state.readPosition >= 4) {
            uint32_t length = 0;
            for (size_t i = 0; i < 4; ++i)
                length = length << 8 |
                         static_cast<unsigned char>(state.readBuffer[state.readPosition + i]);
            if (length > MaxFrameBytes)
                co_return channelError("a frame is too long");
            frameBytes = 4 + length;
        }
        if (state.bufferEnd - state.readPosition >= frameBytes && frameBytes > 4)
            break;
        // Moves the unparsed bytes to the front of the buffer to make room for the rest of the
        // frame.
        if (state.readPosition > 0) {
            state.readBuffer.replace(0, state.bufferEnd - state.readPosition, state.readBuffer,
                                     state.readPosition, state.bufferEnd - state.readPosition);
            state.bufferEnd -= state.readPosition;
            state.readPosition = 0;
        }
        if (state.readBuffer.size() < std::max<size_t>(frameBytes, 16384))
            state.readBuffer.resize(frameBytes);
        state.scheduleCheck(state.readSequence, InactivityTimer(inactivityTimeout, clockNow()),
                            deadline);
        const auto [code, bytes] = co_await state.socket.async_read_some(
            asio::buffer(state.readBuffer.data() + state.bufferEnd,
                         state.readBuffer.size() - state.bufferEnd),
            Await);
        ++state.readSequence;
        state.checkTimer.cancel();
        if (code && state.hasTimedOut)
            co_return Error{ErrorKind::Timeout, "the data channel is silent"};
        if (code)
            co_return channelError(code.message());
        state.bufferEnd += bytes;
    }
    proto::Frame frame;
    if (!frame.ParseFromArray(state.readBuffer.data() + state.readPosition + 4,
                              static_cast<int>(frameBytes - 4)))
        co_return channelError("a frame cannot be parsed");
    state.readPosition += frameBytes;
    co_return frame;
}

void FrameChannel::queue(const proto::Frame &frame)
{
    auto &bytes = this->impl->queued;
    const size_t start = bytes.size();
    bytes.append(4, '\0');
    frame.AppendToString(&bytes);
    const auto length = static_cast<uint32_t>(bytes.size() - start - 4);
    for (size_t i = 0; i < 4; ++i)
        bytes[start + i] = static_cast<char>(length >> (24 - 8 * i) & 255);
}

size_t FrameChannel::queuedBytes() const
{
    return this->impl->queued.size();
}

asio::awaitable<Result<Unit>> FrameChannel::send(const proto::Frame &frame, Duration timeout)
{
    this->queue(frame);
    co_return co_await this->flush(timeout);
}

asio::awaitable<Result<Unit>> FrameChannel::flush(Duration timeout)
{
    const std::string bytes = std::exchange(this->impl->queued, {});
    // A separate timer, because a concurrent receive() has set checkTimer for its inactivity
    // timeout.
    auto &socket = this->impl->socket;
    asio::steady_timer timer(socket.get_executor(), timeout);
    auto expired = std::make_shared<bool>(false);
    timer.async_wait([expired, &socket, alive = std::weak_ptr<bool>(expired)](auto code) {
        if (!code && alive.lock()) {
            *expired = true;
            beast::error_code ignored;
            socket.close(ignored);
        }
    });
    const auto [code, written] = co_await asio::async_write(socket, asio::buffer(bytes), Await);
    timer.cancel();
    if (*expired)
        co_return Error{ErrorKind::Timeout, "the data channel takes no data"};
    if (code)
        co_return Error{ErrorKind::StreamBroken, "the data channel broke: " + code.message()};
    co_return Unit{};
}

bool FrameChannel::isUsable()
{
    auto &socket = this->impl->socket;
    if (!socket.is_open() || this->impl->bufferEnd != this->impl->readPosition)
        return false;
    char byte;
    const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void FrameChannel::close()
{
    beast::error_code ignored;
    this->impl->socket.close(ignored);
}

asio::any_io_executor FrameChannel::executor()
{
    return this->impl->socket.get_executor();
}

FrameServer::FrameServer(asio::io_context &context, Handler handler)
    : listener(context, [handler = std::move(handler)](tcp::socket socket) {
          auto channel = std::make_shared<FrameChannel>(std::move(socket));
          asio::co_spawn(channel->executor(), handler(channel), asio::detached);
      })
{}

} // namespace tray
