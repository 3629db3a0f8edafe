// Finds out which software version began a stream that a caller takes up again, also if another
// gateway, or this instance before a restart, has passed on its first event.
#pragma once

#include "fleet/StreamOrigins.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace tray {

/// Not thread-safe: used from the gateway's thread only.
class StreamOriginExchange
{
public:
    /// Records what begins a stream, before its first event is passed on. A later record of the
    /// same stream replaces the earlier one.
    void record(const std::string &requestId, const StreamOrigin &origin, Instant now);
    /// Returns what began the stream of an earlier attempt of a caller, or nothing if that cannot
    /// be known by the given time. The id is empty if the caller names none. The service is the one
    /// that the route prefers for the stream.
    boost::asio::awaitable<std::optional<StreamOrigin>>
    findOrigin(std::string requestId, std::string service, Instant limit);

private:
    StreamOrigins origins;
};

} // namespace tray
