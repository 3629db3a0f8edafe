// Implements EnginePort by HTTP requests with JSON bodies.
#pragma once

#include "edge/EnginePort.h"

namespace tray {

/// EnginePort for the engine at an address.
class HttpEnginePort : public EnginePort
{
public:
    HttpEnginePort(boost::asio::io_context &context, Address address);

    boost::asio::awaitable<Result<EngineStatus>> fetchStatus(Duration timeout) override;
    boost::asio::awaitable<Result<uint64_t>> sendCommand(EngineCommand command,
                                                         Duration timeout) override;
    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(HttpRequest request,
                                                                     Duration timeout) override;
    boost::asio::awaitable<Result<Unit>> cancel(std::string requestId, Duration timeout) override;

private:
    HttpClient client;
    Address address;
};

/// Parses a status in the engine's JSON form. Fails with UpstreamFailed.
Result<EngineStatus> parseEngineStatus(const std::string &text);

/// Formats a command as the JSON body that the engine expects.
std::string formatEngineCommand(const EngineCommand &command);

} // namespace tray
