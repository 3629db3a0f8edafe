// Sends the HTTP requests of a plain service and checks whether it accepts connections.
#include "edge/HttpServicePort.h"

#include "net/FrameChannel.h"

#include <boost/asio/this_coro.hpp>

namespace tray {

namespace asio = boost::asio;

HttpServicePort::HttpServicePort(asio::io_context &context, Address address)
    : client(context), address(std::move(address))
{}

asio::awaitable<Result<std::unique_ptr<HttpStream>>> HttpServicePort::open(HttpRequest request,
                                                                           Duration timeout)
{
    HttpCallOptions options;
    // The service's answers name no call.
    options.exclusive = true;
    return this->client.open(this->address, std::move(request), timeout, options);
}

asio::awaitable<bool> HttpServicePort::isReachable(Duration timeout)
{
    // Opens a connection without sending a request, which could have an effect.
    const auto executor = co_await asio::this_coro::executor;
    const auto connected = co_await FrameChannel::connect(executor, this->address, timeout);
    co_return isOk(connected);
}

} // namespace tray
