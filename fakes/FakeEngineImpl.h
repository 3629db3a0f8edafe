// Inner state of the engine stand-in, shared by its source files.
#pragma once

#include "FakeEngine.h"

namespace tray::fakes {

/// Faults that tests inject.
struct EngineFaults
{
    /// A request whose body contains this text ends the engine.
    std::string crashText;
    /// Orders to accept and forget.
    int loseOrders = 0;
    /// Orders whose answer is dropped after they took effect.
    int loseAnswers = 0;
    /// Delay before orders take effect and are answered, in ms.
    int delayOrdersMs = 0;
    /// Delay between the answer to an order and its effect, in ms.
    int lateOrdersMs = 0;
    bool silent = false;
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
    boost::asio::awaitable<void> answerWhole(std::shared_ptr<BatchRequest> request, bool chat,
                                             HttpResponder &responder);
    boost::asio::awaitable<void> serveStream(HttpRequest request, HttpResponder &responder);
    boost::asio::awaitable<void> serveOrder(HttpRequest request, HttpResponder &responder);
    boost::asio::awaitable<void> load(FakeItemKey key, uint64_t bytes, uint64_t generation);
    boost::asio::awaitable<void> unload(FakeItemKey key, uint64_t generation);
    boost::asio::awaitable<void> takeSnapshots();
    HttpResponse report();
    void remember(const std::shared_ptr<BatchRequest> &request, bool chat);
    void takeSnapshot();
    void applyOrder(const FakeOrder &order);
    boost::asio::awaitable<void> applyLate(FakeOrder order, Duration delay);
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
    // Reports not yet older than the lag, oldest first; the front is served.
    std::deque<std::pair<Instant, std::string>> snapshots;
    boost::asio::steady_timer snapshotTimer;
    std::map<std::string, int> executions;
    std::map<std::string, std::shared_ptr<BatchRequest>> streams;
    std::deque<std::string> streamOrder;
    // Streams that answer chat requests.
    std::set<std::string> chatStreams;
};

} // namespace tray::fakes
