// Waiting within coroutines.
#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>

namespace tray {

/// Waits for a time on the coroutine's executor. Ends early, without a failure, if the executor's
/// timers are cancelled.
boost::asio::awaitable<void> pauseFor(Duration duration);

} // namespace tray
