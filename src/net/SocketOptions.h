// TCP socket options of the HTTP client and server.
#pragma once

#include "base/Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace tray {

/// Time without an acknowledgement after which the kernel closes a connection: several round trips
/// between regions, and short compared with the deadlines of requests.
constexpr Duration DeadPathTimeout = milliseconds(2500);

/// Sends small writes immediately (TCP_NODELAY) and lets the kernel detect dead network paths, also
/// on a connection that is waiting for a response.
void setUpSocket(boost::asio::ip::tcp::socket &socket);

/// Sets the TCP user timeout, at least DeadPathTimeout, so that a peer may leave bytes unread for
/// longer. The kernel treats a peer whose receive window stays closed as dead.
void setUserTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout);

} // namespace tray
