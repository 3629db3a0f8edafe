// Client side of the control channel, which uses the nng request protocol with one socket per peer.
#pragma once

#include "base/Address.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

namespace tray {

/// Sends control requests to peers. After a timeout, the peer's connection is closed and the next
/// request opens a new one, so that an unresponsive connection is never reused. Safe to use from
/// any thread.
class ControlClient
{
public:
    ControlClient();
    ~ControlClient();

    using Done = std::function<void(Result<std::string>)>;

    /// Sends a request. The callback runs once, on an nng thread. Fails with Timeout (the request
    /// may have been handled) or UpstreamUnreachable.
    void request(const Address &peer, std::string message, Duration timeout, Done callback);

    /// Coroutine version of the above. Resumes on the caller's executor.
    boost::asio::awaitable<Result<std::string>> request(Address peer, std::string message,
                                                        Duration timeout);

    /// Total bytes of the messages sent and received, without framing.
    uint64_t bytesSent() const;
    uint64_t bytesReceived() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
