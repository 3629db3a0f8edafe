// Engine protocol over HTTP and JSON.
#pragma once

#include "edge/EnginePort.h"

namespace tray {

/// Reaches one engine at an address.
class HttpEnginePort : public EnginePort
{
public:
    HttpEnginePort(boost::asio::io_context &context, Address address);

    boost::asio::awaitable<Result<EngineReport>> report(Duration timeout) override;
    boost::asio::awaitable<Result<uint64_t>> order(EngineOrder order, Duration timeout) override;
    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(HttpRequest request,
                                                                     Duration timeout) override;
    boost::asio::awaitable<Result<Unit>> cancel(std::string requestId, Duration timeout) override;

private:
    HttpClient client;
    Address address;
};

/// Reads a report as the engine sends it. Fails with UpstreamFailed.
Result<EngineReport> parseEngineReport(const std::string &text);

/// Body of an order as the engine expects it.
std::string formatEngineOrder(const EngineOrder &order);

} // namespace tray
