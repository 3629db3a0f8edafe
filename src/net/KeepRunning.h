// Background tasks that are restarted after an unexpected exception.
#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string>

namespace tray {

/// Delay before a failed task is restarted: long enough that a persistent fault costs little.
constexpr Duration TaskRestartDelay = milliseconds(500);

/// Returns the message of an exception for the log.
std::string exceptionMessage(const std::exception_ptr &failure);

/// Runs a task until it returns. If it throws, the error is logged under the name and the task is
/// restarted after TaskRestartDelay, so that one unexpected message neither stops the process nor
/// leaves it without the task that receives messages.
void keepRunning(boost::asio::io_context &context, std::string name,
                 std::function<boost::asio::awaitable<void>()> task);

} // namespace tray
