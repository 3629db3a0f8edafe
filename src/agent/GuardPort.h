// Exclusive local port that at most one agent of an upstream holds.
#pragma once

#include "base/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace tray {

/// Holds the port for its own life. A paused process keeps holding it.
class GuardPort
{
public:
    explicit GuardPort(boost::asio::io_context &context) : acceptor(context) {}

    /// Fails with VersionConflict if another process holds the port.
    Result<Unit> bind(const Address &address);

private:
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace tray
