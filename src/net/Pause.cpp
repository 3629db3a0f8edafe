// Delay within a coroutine on an Asio timer.
#include "net/Pause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray {

namespace asio = boost::asio;

asio::awaitable<void> pauseFor(Duration duration)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace tray
