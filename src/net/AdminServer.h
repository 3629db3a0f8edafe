// HTTP server for the admin pages of a daemon: /healthz, /readyz and /metrics.
#pragma once

#include "net/HttpServer.h"
#include "observe/Metrics.h"

namespace tray {

/// Serves the admin pages. Further routes can be added before listen().
class AdminServer
{
public:
    using Route = HttpHandler;

    /// isReady is called for each request for /readyz, which gets status 200 if it returns true and
    /// 503 otherwise.
    AdminServer(boost::asio::io_context &context, const Metrics &metrics,
                std::function<bool()> isReady);

    /// Adds a handler for requests whose path starts with the prefix. Routes are tried in the order
    /// in which they were added.
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
