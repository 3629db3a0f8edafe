// Tests of the signal handling of a daemon and of errors in its tasks.
#include "net/Service.h"
#include "net/KeepRunning.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <stdexcept>

using namespace tray;
namespace asio = boost::asio;

TEST_CASE("SIGHUP reloads a daemon and SIGTERM stops it")
{
    asio::io_context context;
    int reloads = 0;
    asio::steady_timer timer(context, milliseconds(20));
    timer.async_wait([](auto) { std::raise(SIGHUP); });
    asio::steady_timer again(context, milliseconds(60));
    again.async_wait([](auto) { std::raise(SIGHUP); });
    asio::steady_timer end(context, milliseconds(100));
    end.async_wait([](auto) { std::raise(SIGTERM); });
    bool stopped = false;
    const bool complete = runService(
        context, 1,
        [&]() -> asio::awaitable<void> {
            stopped = true;
            co_return;
        },
        std::chrono::seconds(5), [&] { ++reloads; });
    CHECK(complete);
    CHECK(stopped);
    CHECK(reloads == 2);
}

TEST_CASE("A signal during a stop")
{
    asio::io_context context;
    int second = SIGTERM;
    bool expectComplete = true;
    SUBCASE("SIGTERM does not cut the stop short") {}
    SUBCASE("SIGINT ends the daemon immediately")
    {
        second = SIGINT;
        expectComplete = false;
    }
    asio::steady_timer first(context, milliseconds(20));
    first.async_wait([](auto) { std::raise(SIGTERM); });
    asio::steady_timer again(context, milliseconds(60));
    again.async_wait([&](auto) { std::raise(second); });
    asio::steady_timer onceMore(context, milliseconds(100));
    onceMore.async_wait([&](auto) { std::raise(second); });
    asio::steady_timer drain(context);
    bool drained = false;
    const bool complete = runService(
        context, 1,
        [&]() -> asio::awaitable<void> {
            drain.expires_after(milliseconds(300));
            co_await drain.async_wait(asio::use_awaitable);
            drained = true;
        },
        std::chrono::seconds(5));
    CHECK(complete == expectComplete);
    CHECK(drained == expectComplete);
}

TEST_CASE("A failed stop leaves requests in flight their time and is not reported as complete")
{
    asio::io_context context;
    asio::steady_timer first(context, milliseconds(20));
    first.async_wait([](auto) { std::raise(SIGTERM); });
    bool answered = false;
    asio::steady_timer request(context, milliseconds(200));
    request.async_wait([&](auto) { answered = true; });
    const bool complete = runService(
        context, 1,
        []() -> asio::awaitable<void> {
            throw std::runtime_error("unexpected failure");
            co_return;
        },
        milliseconds(400));
    CHECK_FALSE(complete);
    CHECK(answered);
}

TEST_CASE("An unexpected exception ends neither the process nor the task that threw it")
{
    asio::io_context context;
    int runs = 0;
    asio::steady_timer end(context, 3 * TaskRestartDelay);
    end.async_wait([](auto) { std::raise(SIGTERM); });
    const auto stop = []() -> asio::awaitable<void> { co_return; };

    SUBCASE("a handler that throws")
    {
        asio::post(context, [] { throw std::runtime_error("unexpected failure"); });
        asio::post(context, [&] { ++runs; });
        CHECK(runService(context, 1, stop, std::chrono::seconds(5)));
        CHECK(runs == 1);
    }
    SUBCASE("a task that throws is restarted, and one that returns is not")
    {
        keepRunning(context, "test", [&]() -> asio::awaitable<void> {
            if (++runs < 3)
                throw std::runtime_error("unexpected failure");
            co_return;
        });
        CHECK(runService(context, 1, stop, std::chrono::seconds(5)));
        CHECK(runs == 3);
    }
}
