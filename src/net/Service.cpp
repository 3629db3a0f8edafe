// Worker threads and signal handling of a daemon.
#include "net/Service.h"

#include "net/KeepRunning.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <spdlog/spdlog.h>
#include <thread>
#include <vector>

namespace tray {

namespace asio = boost::asio;

namespace {

void awaitHangup(asio::signal_set &hangup, const ReloadHandler &reload)
{
    hangup.async_wait([&](auto code, int) {
        if (code)
            return;
        spdlog::info("event=hangup");
        if (reload)
            reload();
        awaitHangup(hangup, reload);
    });
}

/// Waits for signals during a stop. Only SIGINT ends the stop early, because a supervisor may
/// repeat SIGTERM while requests are still being answered.
void awaitSecondSignal(asio::io_context &context, asio::signal_set &signals)
{
    signals.async_wait([&](auto code, int number) {
        if (code)
            return;
        spdlog::info("event=signal_during_stop signal={} ends={}", number, number == SIGINT);
        if (number == SIGINT)
            context.stop();
        else
            awaitSecondSignal(context, signals);
    });
}

/// Runs the context until it stops. An exception ends only the handler that threw it.
void runContext(asio::io_context &context)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception &failure) {
            spdlog::error("event=handler_failed error={:?}", failure.what());
        }
    }
}

} // namespace

bool runService(asio::io_context &context, unsigned threads,
                std::function<asio::awaitable<void>()> stop, Duration stopLimit,
                ReloadHandler reload)
{
    // A write to a connection that the peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    asio::signal_set hangup(context, SIGHUP);
    awaitHangup(hangup, reload);
    asio::steady_timer stopTimer(context);
    std::atomic<bool> complete{false};
    signals.async_wait([&](auto code, int number) {
        if (code)
            return;
        spdlog::info("event=stop_begin signal={}", number);
        awaitSecondSignal(context, signals);
        stopTimer.expires_after(stopLimit);
        stopTimer.async_wait([&](auto expired) {
            if (!expired)
                context.stop();
        });
        asio::co_spawn(asio::make_strand(context), stop, [&](const std::exception_ptr &failure) {
            // Requests in flight keep their time until the stop limit.
            if (failure) {
                spdlog::error("event=stop_failed error={:?}", exceptionMessage(failure));
                return;
            }
            complete = true;
            context.stop();
        });
    });
    std::vector<std::thread> workers;
    for (unsigned i = 1; i < threads; ++i)
        workers.emplace_back([&] { runContext(context); });
    runContext(context);
    for (auto &worker : workers)
        worker.join();
    spdlog::info("event=stop_end complete={}", complete.load());
    return complete;
}

void endProcess(int status)
{
    spdlog::default_logger()->flush();
    std::cout.flush();
    std::_Exit(status);
}

} // namespace tray
