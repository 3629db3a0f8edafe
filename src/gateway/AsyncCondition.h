// Condition variable for coroutines: wakes those that wait for a change of shared state.
#pragma once

#include "base/Time.h"

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

    /// Waits until notifyAll() is called or the time limit expires. Waiters are woken in ascending
    /// order of rank, and in order of arrival within a rank.
    boost::asio::awaitable<void> waitFor(Duration limit, int rank = 0);
    /// Wakes all current waiters.
    void notifyAll();

private:
    struct Waiter
    {
        int rank;
        boost::asio::steady_timer *timer;
    };

    boost::asio::io_context &context;
    // Sorted by the order in which the waiters are woken.
    std::list<Waiter> waiters;
};

} // namespace tray
