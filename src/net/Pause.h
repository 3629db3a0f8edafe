// Delay within a coroutine.
#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>

namespace tray {

/// Suspends the coroutine for the duration, on its executor. Returns early, without an error, if
/// the timers of the executor are cancelled.
boost::asio::awaitable<void> pauseFor(Duration duration);

} // namespace tray
