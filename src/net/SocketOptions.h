// Options that all TCP sockets of the system share.
#pragma once

#include "base/Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace tray {

/// A peer that has acknowledged nothing for this long is given up: several round trips between
/// regions, and short against the deadlines of requests.
constexpr Duration DeadPathTime = milliseconds(2500);

/// Sends small writes at once and lets the kernel find dead paths, also on a connection that waits
/// for an answer.
void setUpSocket(boost::asio::ip::tcp::socket &socket);

/// Lets a peer leave bytes unread for longer than DeadPathTime. The kernel takes a peer whose
/// window stays closed for a dead one.
void allowUnread(boost::asio::ip::tcp::socket &socket, Duration longest);

} // namespace tray
