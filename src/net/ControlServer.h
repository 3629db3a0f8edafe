// Server side of the control channel, which uses the nng reply protocol with concurrent requests.
#pragma once

#include "base/Address.h"

#include <functional>
#include <memory>
#include <string>

namespace tray {

/// Serves control requests. The handler may send its reply later and from any thread, but only
/// once.
class ControlServer
{
public:
    using Reply = std::function<void(std::string)>;
    using Handler = std::function<void(std::string request, Reply reply)>;

    /// Maximum number of requests in progress. Further ones wait in the sender's connection.
    static constexpr int MaxConcurrentRequests = 64;
    /// Maximum message size, in bytes.
    static constexpr size_t MaxMessageBytes = 16u << 20;

    explicit ControlServer(Handler handler);
    ~ControlServer();

    /// Binds and starts receiving requests; port 0 selects a free port. Returns the bound address.
    Result<Address> listen(const Address &address);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace tray
