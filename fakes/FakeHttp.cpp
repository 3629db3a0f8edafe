// Implements the timed suspension of coroutines.
#include "FakeHttp.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray::fakes {

namespace asio = boost::asio;

asio::awaitable<void> pauseFor(std::chrono::steady_clock::duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace tray::fakes
