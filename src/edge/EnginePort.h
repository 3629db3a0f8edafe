// Narrow interface to an engine.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "memory/EngineState.h"
#include "net/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace tray {

/// Calls to one engine. Errors are those of HttpClient, and Stale for an order that the engine
/// refused because of an old fencing token.
class EnginePort
{
public:
    virtual ~EnginePort() = default;

    virtual boost::asio::awaitable<Result<EngineReport>> report(Duration timeout) = 0;
    /// Sends an order. Returns the sequence number of the first report that can show its effect.
    virtual boost::asio::awaitable<Result<uint64_t>> order(EngineOrder order, Duration timeout) = 0;
    /// Sends a request and returns once the header of the answer is there.
    virtual boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(HttpRequest request,
                                                                             Duration timeout) = 0;
    /// Cancels a request; on success the engine no longer runs it.
    virtual boost::asio::awaitable<Result<Unit>> cancel(std::string requestId,
                                                        Duration timeout) = 0;
};

} // namespace tray
