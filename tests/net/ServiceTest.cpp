// Signals of a daemon.
#include "net/Service.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <doctest/doctest.h>

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
