// Tasks of a process that must not end with an unexpected error.
#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string>

namespace tray {

/// Pause before a task that failed runs again: long enough that a lasting fault costs little.
constexpr Duration TaskRestartPause = milliseconds(500);

/// Text of an error for the log.
std::string describe(const std::exception_ptr &failure);

/// Runs a task to its end. If it throws, the error is logged under the name and the task is begun
/// again after a pause, so that one message that nobody thought of does not stop the process or
/// leave it deaf.
void keepRunning(boost::asio::io_context &context, std::string name,
                 std::function<boost::asio::awaitable<void>()> task);

} // namespace tray
