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

    /// Returns once raise() was called or the time is over.
    boost::asio::awaitable<void> wait(Duration limit);
    /// Wakes all that wait now.
    void raise();

private:
    boost::asio::io_context &context;
    std::list<boost::asio::steady_timer *> waiting;
};

} // namespace tray
