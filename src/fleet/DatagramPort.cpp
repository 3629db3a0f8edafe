// Sends and receives the datagrams of a process on one UDP socket.
#include "fleet/DatagramPort.h"

#include "observe/DecisionLog.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace tray {

namespace asio = boost::asio;
using asio::ip::udp;

DatagramPort::DatagramPort(asio::io_context &context, std::string instance, Handler handler)
    : instance(std::move(instance)), handler(std::move(handler)), socket(context)
{}

Result<Address> DatagramPort::listen(const Address &address)
{
    boost::system::error_code code;
    const udp::endpoint endpoint(asio::ip::make_address(address.host, code), address.port);
    if (!code)
        this->socket.open(endpoint.protocol(), code);
    if (!code)
        this->socket.bind(endpoint, code);
    if (!code)
        this->socket.non_blocking(true, code);
    if (code)
        return Error{ErrorKind::InvalidSettings,
                     "cannot receive datagrams on " + toString(address) + ": " + code.message()};
    this->receive();
    return Address{address.host, this->socket.local_endpoint().port()};
}

void DatagramPort::send(const Address &target, proto::Datagram datagram)
{
    datagram.set_sender(this->instance);
    const std::string bytes = datagram.SerializeAsString();
    boost::system::error_code code;
    const udp::endpoint endpoint(asio::ip::make_address(target.host, code), target.port);
    // The protocol tolerates lost datagrams: senders repeat whatever matters.
    if (bytes.size() > MaxBytes) {
        logDecision(LogPriority::Notable, clockNow(),
                    fmt::format("event=datagram_too_large target={} bytes={}", toString(target),
                                bytes.size()));
        return;
    }
    if (!code)
        this->socket.send_to(asio::buffer(bytes), endpoint, 0, code);
}

void DatagramPort::close()
{
    boost::system::error_code closed;
    this->socket.close(closed);
}

void DatagramPort::handle(const proto::Datagram &datagram)
{
    // An exception from one unexpected datagram must not stop the port from receiving others.
    try {
        this->handler(datagram, {this->sender.address().to_string(), this->sender.port()});
    } catch (const std::exception &failure) {
        spdlog::error("event=datagram_failed sender={} error={:?}", datagram.sender(),
                      failure.what());
    }
}

void DatagramPort::receive()
{
    this->socket.async_receive_from(
        asio::buffer(this->buffer), this->sender,
        [this](boost::system::error_code code, size_t size) {
            if (code == asio::error::operation_aborted || !this->socket.is_open())
                return;
            proto::Datagram datagram;
            // Errors here are those of earlier sends to closed ports. Bytes that cannot be parsed
            // are ignored.
            if (!code && datagram.ParseFromArray(this->buffer.data(), static_cast<int>(size)))
                this->handle(datagram);
            this->receive();
        });
}

} // namespace tray
