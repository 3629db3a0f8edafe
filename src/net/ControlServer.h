// Server side of the control channel: nng reply protocol with many requests at once.
#pragma once

#include "base/Address.h"

#include <functional>
#include <memory>
#include <string>

namespace tray {

/// Answers control requests. The handler may reply later and from any thread, once.
class ControlServer
{
public:
    using Reply = std::function<void(std::string)>;
    using Handler = std::function<void(std::string request, Reply reply)>;

    /// Requests beyond this number wait in the sender's connection.
    static constexpr int ParallelRequests = 64;
    /// Largest message, in bytes.
    static constexpr size_t MaxMessageBytes = 16u << 20;

    explicit ControlServer(Handler handler);
    ~ControlServer();

    /// Binds; port 0 takes any free port. Returns the bound address.
    Result<Address> listen(const Address &address);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace tray
