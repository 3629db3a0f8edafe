// Wakes coroutines that wait for something to change.
#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

namespace tray {

/// All use is from one thread.
class Signal
{
public:
    explicit Signal(boost::asio::io_context &context) : context(context) {}

    /// Returns once raise() was called or the time is over. Of several waiters the lower rank is
    /// woken first, and among equals the one that came first.
    boost::asio::awaitable<void> wait(Duration limit, int rank = 0);
    /// Wakes all that wait now.
    void raise();

private:
    struct Waiter
    {
        int rank;
        boost::asio::steady_timer *timer;
    };

    boost::asio::io_context &context;
    // In the order of waking.
    std::list<Waiter> waiting;
};

} // namespace tray
