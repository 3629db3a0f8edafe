// TCP relay that delays, limits, cuts or silences connections.
#pragma once

#include "RelayLink.h"
#include "base/Address.h"
#include "net/HttpMessage.h"
#include "observe/Metrics.h"

#include "settings_fake_relay.pb.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace tray {

/// Fault of a relay, as POST /fault sets it. Fields that are not in the request stay as they are.
///   {"cut":true}          closes all connections and refuses new ones; false ends the cut
///   {"silence":true}      existing connections stay open but pass nothing; new ones work
///   {"latency_ms":N}      changes the one-way delay
///   {"bandwidth_kbit":N}  changes the bandwidth; 0 has no limit
/// Forwards any number of address pairs over one link. Runs on one thread of a context.
class Relay
{
public:
    Relay(boost::asio::io_context &context, const proto::RelaySection &link, Metrics &metrics);
    ~Relay();

    /// Accepts at an address and forwards to another; returns the bound address.
    Result<Address> forward(const Address &listen, const Address &target);
    /// Applies a fault in the JSON form above. Fails with BadRequest.
    Result<Unit> applyFault(const std::string &json);
    /// Connections that are open now, silenced ones included.
    size_t connections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
