// Implements the condition variable with one timer for each waiter; cancelling a timer wakes its
// waiter.
#include "gateway/AsyncCondition.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray {

boost::asio::awaitable<void> AsyncCondition::waitFor(Duration limit, QueuePlace queuePlace)
{
    boost::asio::steady_timer timer(this->context, limit);
    const auto after =
        std::find_if(this->waiters.begin(), this->waiters.end(),
                     [&](const Waiter &waiter) { return waiter.queuePlace > queuePlace; });
    const auto place = this->waiters.insert(after, {queuePlace, &timer});
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    this->waiters.erase(place);
}

void AsyncCondition::notifyAll()
{
    for (const auto &waiter : this->waiters)
        waiter.timer->cancel();
}

} // namespace tray
