// Client side of the control channel: nng request protocol, one socket for each peer.
#pragma once

#include "base/Address.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

namespace tray {

/// Sends control requests to peers. After a timeout the peer's connection is closed and the next
/// request opens a fresh one, so a connection that went silent is never used again. Safe to use
/// from any thread.
class ControlClient
{
public:
    ControlClient();
    ~ControlClient();

    using Done = std::function<void(Result<std::string>)>;

    /// Sends a request; done runs once, on a thread of the library. Fails with Timeout (the request
    /// may have been handled) or UpstreamUnreachable.
    void request(const Address &peer, std::string message, Duration timeout, Done done);

    /// The same for coroutines; resumes on the caller's executor.
    boost::asio::awaitable<Result<std::string>> request(Address peer, std::string message,
                                                        Duration timeout);

    /// Bytes sent and received so far, without framing.
    uint64_t bytesSent() const;
    uint64_t bytesReceived() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
