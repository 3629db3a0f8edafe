// HTTP server for callers.
#pragma once

#include "entry/Exchange.h"
#include "net/HttpServer.h"

namespace tray {

/// Settings of the callers' side.
struct EntryOptions
{
    std::string dataCentre;
    std::string region;
    std::string routing = "predictive";
    unsigned retryPercent = 10;
    HttpServerLimits limits;
    size_t bufferLimit = 4u << 20;
    Duration lateAnswer = std::chrono::seconds(30);
};

/// Takes callers' requests and routes them. All references must outlive the context's run.
class EntryServer
{
public:
    /// Time that the final answers of a stop may take, with the longest silence of a channel.
    static constexpr Duration FinalAnswerTime = std::chrono::seconds(2);

    EntryServer(boost::asio::io_context &context, const EntryOptions &options, StatePort &state,
                ClaimPort &claims, Metrics &metrics);

    Result<Address> listen(const Address &address) { return this->server.listen(address); }
    /// Stops to accept; requests in flight go on.
    void drain() { this->server.drain(); }
    size_t inFlight() const { return this->server.inFlight(); }
    bool isDrained() const { return this->server.isDrained(); }
    /// From this time on, requests in flight, those that are still being read and those that still
    /// arrive get their final answers at once, whatever they wait for.
    boost::asio::awaitable<void> endAt(Instant lastAnswer);

private:
    boost::asio::awaitable<void> serve(HttpRequest request, HttpResponder &responder);
    HttpResponse listModels(const HttpRequest &request) const;

    StatePort &state;
    EntryMetrics metrics;
    Router router;
    RetryBudget budget;
    ChannelPool pool;
    AttemptDriver driver;
    SuspectGate suspects;
    OpenExchanges exchanges;
    EntryServices services;
    HttpServer server;
};

} // namespace tray
