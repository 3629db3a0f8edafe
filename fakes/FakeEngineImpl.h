// Private state of the engine stand-in, shared by its source files.
#pragma once

#include "FakeEngine.h"

namespace tray::fakes {

/// Faults that tests inject with POST /fault or setFault().
struct EngineFaults
{
    /// A request whose body contains this text crashes the engine.
    std::string crashText;
    /// Number of next orders that are accepted but have no effect.
    int loseOrders = 0;
    /// Number of next orders whose response is dropped, although they take effect.
    int loseAnswers = 0;
    /// Delay before orders take effect and get a response, in ms.
    int delayOrdersMs = 0;
    /// Delay between the response to an order and its effect, in ms.
    int lateOrdersMs = 0;
    /// Requests get no response until the fault is cleared.
    bool unresponsive = false;
    /// The engine has crashed: all requests are aborted until the fault "revive".
    bool dead = false;
};

struct FakeEngine::Impl : std::enable_shared_from_this<FakeEngine::Impl>
{
    Impl(boost::asio::io_context &context, const proto::FakeEngineSection &settings,
         std::function<void()> onCrash);

    boost::asio::awaitable<void> serve(HttpRequest request, HttpResponder &responder);
    boost::asio::awaitable<void> complete(HttpRequest request, HttpResponder &responder);
    boost::asio::awaitable<void> streamEvents(std::shared_ptr<BatchRequest> request, bool chat,
                                              uint32_t after, HttpResponder &responder);
    boost::asio::awaitable<void> respondWhenFinished(std::shared_ptr<BatchRequest> request,
                                                     bool chat, HttpResponder &responder);
    boost::asio::awaitable<void> serveStream(HttpRequest request, HttpResponder &responder);
    boost::asio::awaitable<void> serveOrder(HttpRequest request, HttpResponder &responder);
    boost::asio::awaitable<void> loadItem(FakeItemKey key, uint64_t bytes, uint64_t generation);
    boost::asio::awaitable<void> unloadItem(FakeItemKey key, uint64_t generation);
    boost::asio::awaitable<void> snapshotLoop();
    HttpResponse reportResponse();
    void retainStream(const std::shared_ptr<BatchRequest> &request, bool chat);
    void takeSnapshot();
    void applyOrder(const FakeOrder &order);
    boost::asio::awaitable<void> applyAfterDelay(FakeOrder order, Duration delay);
    void crash();
    void setFault(const boost::json::object &fault);

    boost::asio::io_context &context;
    const proto::FakeEngineSection settings;
    std::function<void()> onCrash;
    EngineMemory memory;
    EngineBatch batch;
    HttpClient client;
    std::unique_ptr<HttpServer> server;
    EngineFaults faults;
    bool stopped = false;
    std::string role = "mixed";
    uint64_t sequence = 0;
    // Serialized reports with their times, oldest first. The front one is served: it is the newest
    // that is older than the report lag.
    std::deque<std::pair<Instant, std::string>> snapshots;
    boost::asio::steady_timer snapshotTimer;
    // Number of executions by request id.
    std::map<std::string, int> executions;
    // Most recent requests by id, whose streams can be resumed, and their ids, oldest first.
    std::map<std::string, std::shared_ptr<BatchRequest>> streams;
    std::deque<std::string> streamOrder;
    // Ids of the streams that belong to chat requests.
    std::set<std::string> chatStreams;
};

} // namespace tray::fakes
