// Frame of a daemon: threads of an io_context and a graceful stop on SIGTERM or SIGINT.
#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>

namespace tray {

/// Called on SIGHUP: the settings may have changed.
using ReloadHandler = std::function<void()>;

/// Runs the context on the given number of threads until a signal arrives and stop() has finished,
/// or until stop() has taken longer than the limit, as one that throws does. During a stop, SIGINT
/// ends at once and SIGTERM changes nothing. Returns true if the stop was complete. SIGHUP never
/// ends the process.
bool runService(boost::asio::io_context &context, unsigned threads,
                std::function<boost::asio::awaitable<void>()> stop, Duration stopLimit,
                ReloadHandler reload = {});

/// Ends the process after runService() without running destructors: all work is done by then, and
/// the control channel's library was once seen to keep a stopped process alive while it was torn
/// down.
[[noreturn]] void endProcess(int status);

} // namespace tray
