// HTTP client on Boost.Beast with a pool of kept-alive connections for each address.
#pragma once

#include "base/Address.h"
#include "base/Time.h"
#include "net/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace tray {

/// Answer whose body arrives in pieces. Destroying it before the end closes the connection, which
/// tells the peer to cancel.
class HttpStream
{
public:
    virtual ~HttpStream() = default;

    virtual int status() const = 0;
    virtual const HttpHeaders &headers() const = 0;
    /// Next piece of the body; empty at the mark of a whole body. Fails with StreamBroken if the
    /// connection ends or stays silent for the time given, so a cut body is never taken for whole.
    virtual boost::asio::awaitable<Result<std::string>> read(Duration silence) = 0;
};

/// Sends requests. Safe to use from any thread; each call runs on the caller's executor.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();

    /// Sends a request and waits for the whole answer.
    /// Fails with UpstreamUnreachable if nothing was sent (the request did not run), otherwise with
    /// Timeout or UpstreamFailed (it may have run). A request is never sent twice.
    boost::asio::awaitable<Result<HttpResponse>> request(Address address, HttpRequest request,
                                                         Duration timeout);

    /// Sends a request and returns once the header of the answer is there. Errors as for request().
    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>>
    open(Address address, HttpRequest request, Duration timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
