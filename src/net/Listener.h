// TCP listener of the HTTP and frame servers.
#pragma once

#include "base/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace tray {

/// Accepts TCP connections on one address. The executor of each accepted socket is a strand of its
/// own.
class Listener
{
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket socket)>;

    Listener(boost::asio::io_context &context, Handler handler);
    ~Listener();

    /// Binds and starts accepting connections; port 0 selects a free port. Returns the bound
    /// address. Fails with InvalidSettings.
    Result<Address> listen(const Address &address);
    /// Stops accepting connections. Connections that are already waiting are handed over first,
    /// because peers may have sent requests on them. After that the handler is not called again,
    /// and the callback runs. May be called from any thread and more than once.
    void close(std::function<void()> closed = {});

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
