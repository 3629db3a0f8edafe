// Accepts TCP connections for the servers of this module.
#pragma once

#include "base/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace tray {

/// Listens on one address. Each accepted socket has a strand of its own as its executor.
class Listener
{
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket socket)>;

    Listener(boost::asio::io_context &context, Handler handler);
    ~Listener();

    /// Binds and starts to accept; port 0 takes any free port. Returns the bound address. Fails
    /// with InvalidSettings.
    Result<Address> listen(const Address &address);
    /// Stops to accept. Connections that wait already are handed over before; peers may have sent
    /// requests on them. Then the handler is not called again, and the callback is called. Safe
    /// from any thread, and twice.
    void close(std::function<void()> closed = {});

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
