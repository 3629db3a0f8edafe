// Interface to one engine: reads its status, sends it commands, and opens and cancels requests.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "memory/EngineState.h"
#include "net/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace tray {

/// Calls to one engine. Errors are those of HttpClient, and Stale for a command that the engine
/// refused because of an old fencing token.
class EnginePort
{
public:
    virtual ~EnginePort() = default;

    virtual boost::asio::awaitable<Result<EngineStatus>> fetchStatus(Duration timeout) = 0;
    /// Sends a command. Returns the sequence number of the first status that can show its effect.
    virtual boost::asio::awaitable<Result<uint64_t>> sendCommand(EngineCommand command,
                                                                 Duration timeout) = 0;
    /// Sends a request and returns when the header of the answer has arrived.
    virtual boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(HttpRequest request,
                                                                             Duration timeout) = 0;
    /// Cancels a request. On success the engine no longer executes it.
    virtual boost::asio::awaitable<Result<Unit>> cancel(std::string requestId,
                                                        Duration timeout) = 0;
};

} // namespace tray
