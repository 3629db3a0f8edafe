// TCP relay that adds delay, limits bandwidth, and cuts connections or discards their data.
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

/// Forwards any number of address pairs over one simulated link. Runs on one thread of a context.
///
/// POST /fault sets faults. Faults whose fields are absent stay as they are.
///   {"cut":true}          resets all connections and refuses new ones; false ends the cut
///   {"silence":true}      existing connections stay open but pass no data; new ones work
///   {"latency_ms":N}      changes the one-way delay
///   {"bandwidth_kbit":N}  changes the bandwidth; 0 means no limit
class Relay
{
public:
    Relay(boost::asio::io_context &context, const proto::RelaySection &link, Metrics &metrics);
    ~Relay();

    /// Accepts connections at one address and forwards them to another; returns the bound address.
    Result<Address> forward(const Address &listen, const Address &target);
    /// Applies faults in the JSON format above. Fails with BadRequest if the JSON is invalid.
    Result<Unit> applyFault(const std::string &json);
    /// Number of open connections, including those that pass no data.
    size_t connections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
