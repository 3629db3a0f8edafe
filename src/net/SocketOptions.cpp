// TCP options with which the kernel detects dead network paths.
#include "net/SocketOptions.h"

#include <algorithm>
#include <netinet/tcp.h>

namespace tray {

namespace {

// Idle time before the first keep-alive probe and interval between probes, in seconds.
constexpr int ProbeIntervalSeconds = 1;
// Number of unanswered probes after which the connection is considered dead.
constexpr int ProbeCount = 3;

using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using ProbeIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using ProbeInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using ProbeLimit = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

} // namespace

void setUpSocket(boost::asio::ip::tcp::socket &socket)
{
    // An option is refused only by a socket that is already closed, which the next operation
    // reports.
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(ProbeIdle(ProbeIntervalSeconds), ignored);
    socket.set_option(ProbeInterval(ProbeIntervalSeconds), ignored);
    socket.set_option(ProbeLimit(ProbeCount), ignored);
    socket.set_option(UserTimeout(static_cast<int>(toMs(DeadPathTimeout))), ignored);
}

void setUserTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout)
{
    boost::system::error_code ignored;
    socket.set_option(UserTimeout(static_cast<int>(toMs(std::max(timeout, DeadPathTimeout)))),
                      ignored);
}

} // namespace tray
