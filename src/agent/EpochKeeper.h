// The epoch of an agent, used as fencing token. It is stored in the object agents/<upstream> and
// raised by conditional writes.
#pragma once

#include "base/Result.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace tray {

class ObjectApi;

/// Raises and watches the epoch of one upstream.
class EpochKeeper
{
public:
    EpochKeeper(ObjectApi &objects, std::string upstream, std::string instance);

    /// Writes an epoch that is higher than the stored one. Fails with PlatformUnavailable or
    /// VersionConflict; both may be retried.
    boost::asio::awaitable<Result<uint64_t>> raise();
    /// Fails with Stale if another agent has raised the epoch after this one.
    boost::asio::awaitable<Result<Unit>> check();
    /// Epoch that this agent has raised; 0 before raise() has succeeded.
    uint64_t epoch() const { return this->current; }

private:
    struct Stored
    {
        uint64_t epoch = 0;
        uint64_t version = 0;
        std::string nonce;
    };
    boost::asio::awaitable<Result<Stored>> read();

    ObjectApi &objects;
    std::string key;
    std::string instance;
    uint64_t current = 0;
};

} // namespace tray
