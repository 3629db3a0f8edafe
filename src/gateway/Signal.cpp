// Condition for coroutines, made of timers.
#include "gateway/Signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray {

boost::asio::awaitable<void> Signal::wait(Duration limit)
{
    boost::asio::steady_timer timer(this->context, limit);
    const auto place = this->waiting.insert(this->waiting.end(), &timer);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    this->waiting.erase(place);
}

void Signal::raise()
{
    for (auto *timer : this->waiting)
        timer->cancel();
}

} // namespace tray
