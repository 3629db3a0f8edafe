// Socket options that find dead paths.
#include "net/SocketOptions.h"

#include <algorithm>
#include <netinet/tcp.h>

namespace tray {

namespace {

// Idle time before the first keep-alive probe and the time between probes, in seconds.
constexpr int ProbeSeconds = 1;
// Unanswered probes after which the connection is dead.
constexpr int ProbeCount = 3;

using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using ProbeIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using ProbeInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using ProbeLimit = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

} // namespace

void setUpSocket(boost::asio::ip::tcp::socket &socket)
{
    // A socket that refuses an option is closed already; the next operation on it reports that.
    boost::system::error_code closed;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), closed);
    socket.set_option(boost::asio::socket_base::keep_alive(true), closed);
    socket.set_option(ProbeIdle(ProbeSeconds), closed);
    socket.set_option(ProbeInterval(ProbeSeconds), closed);
    socket.set_option(ProbeLimit(ProbeCount), closed);
    socket.set_option(UserTimeout(static_cast<int>(toMs(DeadPathTime))), closed);
}

void allowUnread(boost::asio::ip::tcp::socket &socket, Duration longest)
{
    boost::system::error_code closed;
    socket.set_option(UserTimeout(static_cast<int>(toMs(std::max(longest, DeadPathTime)))), closed);
}

} // namespace tray
