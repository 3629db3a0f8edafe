// Exclusive local TCP port that at most one agent of an upstream can bind.
#pragma once

#include "base/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace tray {

/// Keeps the port bound until it is destroyed, also while the process is paused.
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
