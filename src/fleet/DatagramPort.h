// Protobuf datagrams over UDP between the system's own processes.
#pragma once

#include "base/Address.h"

#include "fleet.pb.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace tray {

/// Sends and receives datagrams without acknowledgement or retry; the protocol repeats what
/// matters.
class DatagramPort
{
public:
    /// Largest size of a datagram, in bytes. The state of an engine with all its models and
    /// adapters is far smaller. Larger datagrams are not sent.
    static constexpr size_t MaxBytes = 16384;

    using Handler = std::function<void(const proto::Datagram &datagram, const Address &sender)>;

    DatagramPort(boost::asio::io_context &context, std::string instance, Handler handler);

    /// Binds the socket and starts to receive; port 0 selects any free port. Returns the bound
    /// address. Fails with InvalidSettings.
    Result<Address> listen(const Address &address);
    /// Sends without blocking; a datagram for which the socket has no buffer space is lost.
    void send(const Address &target, proto::Datagram datagram);
    void close();

private:
    void receive();
    void handle(const proto::Datagram &datagram);

    const std::string instance;
    const Handler handler;
    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, MaxBytes> buffer;
};

} // namespace tray
