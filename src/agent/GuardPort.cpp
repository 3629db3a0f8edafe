#include "agent/GuardPort.h"

namespace tray {

namespace asio = boost::asio;

Result<Unit> GuardPort::bind(const Address &address)
{
    boost::system::error_code code;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host, code),
                                           address.port);
    if (!code)
        this->acceptor.open(endpoint.protocol(), code);
    // No client ever connects, so no connection in TIME_WAIT can block a successor. Without
    // reuse_address, a second bind fails even if the first process does not listen yet.
    if (!code)
        this->acceptor.bind(endpoint, code);
    if (!code)
        this->acceptor.listen(1, code);
    if (code)
        return Error{ErrorKind::VersionConflict,
                     "the guard port " + toString(address) + " cannot be bound: " + code.message()};
    return Unit{};
}

} // namespace tray
