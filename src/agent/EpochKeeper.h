// The agent's epoch: a conditional counter in the object agents/<upstream>, used as fencing token.
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

    /// Writes an epoch above the one found. Fails with PlatformUnavailable or VersionConflict; both
    /// may be tried again.
    boost::asio::awaitable<Result<uint64_t>> raise();
    /// Fails with Stale if another agent has raised the epoch since.
    boost::asio::awaitable<Result<Unit>> check();
    /// The epoch raised by this agent; 0 before.
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
