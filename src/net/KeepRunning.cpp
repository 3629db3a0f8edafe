// Runs coroutine tasks and restarts those that throw.
#include "net/KeepRunning.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <spdlog/spdlog.h>

namespace tray {

namespace asio = boost::asio;

std::string exceptionMessage(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "unknown";
    }
}

void keepRunning(asio::io_context &context, std::string name,
                 std::function<asio::awaitable<void>()> task)
{
    // The function object must outlive the coroutine that it creates.
    const auto shared = std::make_shared<std::function<asio::awaitable<void>()>>(std::move(task));
    asio::co_spawn(
        context, [shared] { return (*shared)(); },
        [&context, name, shared](const std::exception_ptr &failure) {
            if (!failure)
                return;
            spdlog::error("event=task_failed task={} error={:?}", name, exceptionMessage(failure));
            auto timer = std::make_shared<asio::steady_timer>(context, TaskRestartDelay);
            timer->async_wait([&context, name, shared, timer](boost::system::error_code code) {
                if (!code)
                    keepRunning(context, name, *shared);
            });
        });
}

} // namespace tray
