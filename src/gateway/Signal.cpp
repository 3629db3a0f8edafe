// Condition for coroutines, made of timers.
#include "gateway/Signal.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray {

boost::asio::awaitable<void> Signal::wait(Duration limit, int rank)
{
    boost::asio::steady_timer timer(this->context, limit);
    const auto after = std::find_if(this->waiting.begin(), this->waiting.end(),
                                    [&](const Waiter &waiter) { return waiter.rank > rank; });
    const auto place = this->waiting.insert(after, {rank, &timer});
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    this->waiting.erase(place);
}

void Signal::raise()
{
    for (const auto &waiter : this->waiting)
        waiter.timer->cancel();
}

} // namespace tray
