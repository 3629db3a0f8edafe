// Frames over TCP.
#include "net/FrameChannel.h"

#include "net/SilenceWatch.h"

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
        : socket(std::move(socket)), lookTimer(this->socket.get_executor())
    {}

    /// Closes the socket once the peer was silent for the limit, or at the given time, while the
    /// read with the given number waits.
    void lookLater(uint64_t number, SilenceWatch watch, Instant until)
    {
        this->lookTimer.expires_at(std::min(watch.nextLook(), until));
        this->lookTimer.async_wait(
            [weak = this->weak_from_this(), number, watch, until](beast::error_code code) mutable {
                const auto self = weak.lock();
                if (code || !self || self->readNumber != number)
                    return;
                const Instant now = clockNow();
                const bool isSilent = watch.isOver() && !self->hasUnreadBytes();
                if (!isSilent && now < until) {
                    watch.look(now);
                    self->lookLater(number, watch, until);
                    return;
                }
                self->hasTimedOut = true;
                beast::error_code ignored;
                self->socket.close(ignored);
            });
    }

    /// Bytes have arrived that the waiting read has not taken yet.
    bool hasUnreadBytes()
    {
        beast::error_code code;
        return this->socket.available(code) > 0 && !code;
    }

    tcp::socket socket;
    asio::steady_timer lookTimer;
    // Number of the read that waits; raised when it ends, so that a look that comes later is void.
    uint64_t readNumber = 0;
    bool hasTimedOut = false;
    std::string readBuffer;
    size_t readPosition = 0;
    size_t readEnd = 0;
    // Serialized frames that wait for the next send().
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

asio::awaitable<Result<proto::Frame>> FrameChannel::receive(Duration silence, Instant until)
{
    auto &state = *this->impl;
    const auto broken = [](const std::string &what) {
        return Error{ErrorKind::StreamBroken, "the data channel broke: " + what};
    };
    size_t wanted = 4;
    while (true) {
        if (state.readEnd - state.readPosition >= 4) {
            uint32_t length = 0;
            for (size_t i = 0; i < 4; ++i)
                length = length << 8 |
                         static_cast<unsigned char>(state.readBuffer[state.readPosition + i]);
            if (length > MaxFrameBytes)
                co_return broken("a frame is too long");
            wanted = 4 + length;
        }
        if (state.readEnd - state.readPosition >= wanted && wanted > 4)
            break;
        // Makes room for the rest of the frame at the front of the buffer.
        if (state.readPosition > 0) {
            state.readBuffer.replace(0, state.readEnd - state.readPosition, state.readBuffer,
                                     state.readPosition, state.readEnd - state.readPosition);
            state.readEnd -= state.readPosition;
            state.readPosition = 0;
        }
        if (state.readBuffer.size() < std::max<size_t>(wanted, 16384))
            state.readBuffer.resize(wanted);
        state.lookLater(state.readNumber, SilenceWatch(silence, clockNow()), until);
        const auto [code, bytes] = co_await state.socket.async_read_some(
            asio::buffer(state.readBuffer.data() + state.readEnd,
                         state.readBuffer.size() - state.readEnd),
            Await);
        ++state.readNumber;
        state.lookTimer.cancel();
        if (code && state.hasTimedOut)
            co_return Error{ErrorKind::Timeout, "the data channel is silent"};
        if (code)
            co_return broken(code.message());
        state.readEnd += bytes;
    }
    proto::Frame frame;
    if (!frame.ParseFromArray(state.readBuffer.data() + state.readPosition + 4,
                              static_cast<int>(wanted - 4)))
        co_return broken("a frame cannot be parsed");
    state.readPosition += wanted;
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
    // Not on the stream's own timer: a concurrent receive has set it for the silence it accepts.
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
    if (!socket.is_open() || this->impl->readEnd != this->impl->readPosition)
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
