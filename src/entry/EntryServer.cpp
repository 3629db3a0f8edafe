// Dispatches requests by path: the list of models here, all others to an EntryExchange.
#include "entry/EntryServer.h"

#include "entry/ErrorReply.h"
#include "net/Pause.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace tray {

namespace asio = boost::asio;
namespace json = boost::json;

EntryServer::EntryServer(asio::io_context &context, const EntryOptions &options, StatePort &state,
                         ClaimPort &claims, Metrics &metrics)
    : state(state), metrics(metrics),
      router(options.dataCentre, options.region, makeRoutingStrategy(options.routing)),
      budget(options.retryPercent), driver(this->pool, state, this->metrics),
      services{state,         claims,         this->router,        this->budget,
               this->pool,    this->driver,   this->suspects,      this->exchanges,
               this->metrics, options.region, options.bufferLimit, options.lateAnswerTime},
      server(
          context,
          [this](HttpRequest request, HttpResponder &responder) {
              return this->serve(std::move(request), responder);
          },
          options.limits, [](const Error &reason) { return errorReply(reason); })
{}

asio::awaitable<void> EntryServer::endRequestsAt(Instant finalAnswersAt)
{
    co_await pauseFor(finalAnswersAt - clockNow());
    this->exchanges.endAll();
    this->server.refuseIncompleteRequests();
}

asio::awaitable<void> EntryServer::serve(HttpRequest request, HttpResponder &responder)
{
    if (request.method == "GET" && pathOf(request.target) == "/v1/models") {
        HttpResponse response = this->listModels(request);
        co_await responder.respond(std::move(response));
        co_return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (!this->state.isFresh(now)) {
        // Checked before the credential, which may be missing from a stale catalogue.
        Error stale{ErrorKind::Stale, "this instance has no fresh state of the system"};
        this->metrics.countError("", stale.kind);
        HttpResponse response = errorReply(stale);
        co_await responder.respond(std::move(response));
        co_return;
    }
    std::string parameter;
    auto read = readCallerRequest(std::move(request), this->state.catalogue(), now, parameter);
    if (!isOk(read)) {
        this->metrics.countError("", error(read).kind);
        HttpResponse response = errorReply(error(read), std::nullopt, parameter);
        co_await responder.respond(std::move(response));
        co_return;
    }
    EntryExchange exchange(this->services, std::move(value(read)), responder);
    co_await exchange.run();
}

HttpResponse EntryServer::listModels(const HttpRequest &request) const
{
    const auto catalogue = this->state.catalogue();
    if (const auto clientAccount = authenticate(request, *catalogue); !isOk(clientAccount))
        return errorReply(error(clientAccount));
    json::array data;
    const auto add = [&](std::string id) {
        json::object model;
        model["id"] = id;
        model["object"] = "model";
        model["owned_by"] = "marjoramtray";
        data.push_back(std::move(model));
    };
    for (const auto &[name, model] : catalogue->models())
        add(name);
    for (const auto &[name, adapter] : catalogue->adapters())
        add(adapter.base_model() + ":" + name);
    json::object body;
    body["object"] = "list";
    body["data"] = std::move(data);
    return makeResponse(200, "application/json", json::serialize(body));
}

} // namespace tray
