// Options that all TCP sockets of the system share.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace tray {

/// Sends small writes at once and lets the kernel find dead paths: a peer that has acknowledged
/// nothing for DeadPathMs is given up, also on a connection that waits for an answer.
void setUpSocket(boost::asio::ip::tcp::socket &socket);

} // namespace tray
