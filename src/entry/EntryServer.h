// HTTP server that takes callers' requests, and owns what the requests share.
#pragma once

#include "entry/EntryExchange.h"
#include "net/HttpServer.h"

namespace tray {

/// Settings of the entry server.
struct EntryOptions
{
    std::string dataCentre;
    std::string region;
    std::string routing = "predictive";
    unsigned retryPercent = 10;
    HttpServerLimits limits;
    size_t bufferLimit = 4u << 20;
    Duration lateAnswerTime = std::chrono::seconds(30);
};

/// Takes callers' requests and runs an EntryExchange for each. All references must stay valid until
/// the context has stopped running.
class EntryServer
{
public:
    /// Time in which the final answers of a shutdown must be written, including one heartbeat
    /// timeout of a channel.
    static constexpr Duration FinalAnswerTime = std::chrono::seconds(2);

    EntryServer(boost::asio::io_context &context, const EntryOptions &options, StatePort &state,
                ClaimPort &claims, Metrics &metrics);

    Result<Address> listen(const Address &address) { return this->server.listen(address); }
    /// Stops accepting connections. Requests in flight continue.
    void drain() { this->server.drain(); }
    size_t inFlight() const { return this->server.inFlight(); }
    bool isDrained() const { return this->server.isDrained(); }
    /// Sends final answers immediately from this time on, to the requests in flight, whatever they
    /// wait for, to those that are still being read and to those that arrive later.
    boost::asio::awaitable<void> endRequestsAt(Instant finalAnswersAt);

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
