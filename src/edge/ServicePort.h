// Interface to one plain service, which executes requests without models.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "net/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace tray {

/// Calls to one plain service. Errors are those of HttpClient.
class ServicePort
{
public:
    virtual ~ServicePort() = default;

    /// Sends a request and returns when the header of the answer has arrived.
    virtual boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(HttpRequest request,
                                                                             Duration timeout) = 0;
    /// Returns whether the service accepts a connection within the timeout.
    virtual boost::asio::awaitable<bool> isReachable(Duration timeout) = 0;
};

} // namespace tray
