// Condition variable for coroutines: wakes those that wait for a change of shared state.
#pragma once

#include "base/Time.h"
#include "dispatch/QueuePlace.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

namespace tray {

/// Condition variable for coroutines of one io_context. Not thread-safe.
class AsyncCondition
{
public:
    explicit AsyncCondition(boost::asio::io_context &context) : context(context) {}

    /// Waits until notifyAll() is called or the time limit expires. Waiters are woken in the order
    /// of their places, and in order of arrival at equal places.
    boost::asio::awaitable<void> waitFor(Duration limit, QueuePlace queuePlace = {});
    /// Wakes all current waiters.
    void notifyAll();

private:
    struct Waiter
    {
        QueuePlace queuePlace;
        boost::asio::steady_timer *timer;
    };

    boost::asio::io_context &context;
    // Sorted by the order in which the waiters are woken.
    std::list<Waiter> waiters;
};

} // namespace tray
