// Implements ServicePort by HTTP requests.
#pragma once

#include "edge/ServicePort.h"

namespace tray {

/// ServicePort for the plain service at an address.
class HttpServicePort : public ServicePort
{
public:
    HttpServicePort(boost::asio::io_context &context, Address address);

    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(HttpRequest request,
                                                                     Duration timeout) override;
    boost::asio::awaitable<bool> isReachable(Duration timeout) override;

private:
    HttpClient client;
    Address address;
};

} // namespace tray
