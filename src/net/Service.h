// Main loop of a daemon: runs an io_context on several threads, stops gracefully on SIGTERM or
// SIGINT and reloads on SIGHUP.
#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>

namespace tray {

/// Called on SIGHUP, which tells the process that its settings may have changed.
using ReloadHandler = std::function<void()>;

/// Runs the context on the given number of threads until a signal has arrived and stop() has
/// finished, or until the stop limit has passed. If stop() throws, the context runs until the
/// limit. During a stop, SIGINT ends the run immediately and SIGTERM has no effect. Returns whether
/// stop() finished. SIGHUP never ends the process.
bool runService(boost::asio::io_context &context, unsigned threads,
                std::function<boost::asio::awaitable<void>()> stop, Duration stopLimit,
                ReloadHandler reload = {});

/// Ends the process after runService() without running destructors. All work is done by then, and
/// nng, the library of the control channel, can keep a stopped process alive during its tear-down.
[[noreturn]] void endProcess(int status);

} // namespace tray
