// Admin pages of a daemon: /healthz, /readyz and /metrics.
#pragma once

#include "net/HttpServer.h"
#include "observe/Metrics.h"

namespace tray {

/// Serves the admin pages; more routes can be added before listen().
class AdminServer
{
public:
    using Route = HttpHandler;

    /// isReady is read by each request for /readyz: 200 if true, otherwise 503.
    AdminServer(boost::asio::io_context &context, const Metrics &metrics,
                std::function<bool()> isReady);

    /// Serves targets whose path starts with the prefix.
    void addRoute(std::string prefix, Route route);
    Result<Address> listen(const Address &address);
    void drain() { this->server.drain(); }

private:
    boost::asio::awaitable<void> serve(HttpRequest request, HttpResponder &responder);

    const Metrics &metrics;
    std::function<bool()> isReady;
    std::vector<std::pair<std::string, Route>> routes;
    HttpServer server;
};

} // namespace tray
