// Routing of admin requests to the built-in pages and the added routes.
#include "net/AdminServer.h"

namespace tray {

AdminServer::AdminServer(boost::asio::io_context &context, const Metrics &metrics,
                         std::function<bool()> isReady)
    : metrics(metrics), isReady(std::move(isReady)),
      server(context, [this](HttpRequest request, HttpResponder &responder) {
          return this->serve(std::move(request), responder);
      })
{}

void AdminServer::addRoute(std::string prefix, Route route)
{
    this->routes.emplace_back(std::move(prefix), std::move(route));
}

Result<Address> AdminServer::listen(const Address &address)
{
    return this->server.listen(address);
}

boost::asio::awaitable<void> AdminServer::serve(HttpRequest request, HttpResponder &responder)
{
    const std::string path(pathOf(request.target));
    const auto plain = [](int status, std::string body) {
        return makeResponse(status, "text/plain", std::move(body));
    };
    if (path == "/healthz") {
        co_await responder.respond(plain(200, "ok\n"));
        co_return;
    }
    if (path == "/readyz") {
        const bool ready = this->isReady();
        co_await responder.respond(plain(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
        co_return;
    }
    if (path == "/metrics") {
        co_await responder.respond(plain(200, this->metrics.page()));
        co_return;
    }
    for (const auto &[prefix, route] : this->routes) {
        if (path.starts_with(prefix)) {
            co_await route(std::move(request), responder);
            co_return;
        }
    }
    co_await responder.respond(plain(404, "no such page\n"));
}

} // namespace tray
