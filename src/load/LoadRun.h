// Executes a scenario: sends the requests of its flows in an open loop, injects its faults and
// reads its counters.
#pragma once

#include "load/ReportBuilder.h"
#include "load/RequestSender.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>

namespace tray {

/// One run of a scenario. Each request is sent at its intended time, regardless of whether earlier
/// requests are still pending.
class LoadRun
{
public:
    LoadRun(boost::asio::io_context &context, const Scenario &scenario);

    /// Returns the report after the last request has ended. The caller must run the context.
    boost::asio::awaitable<proto::LoadReport> run();

private:
    boost::asio::awaitable<void> runFlow(std::string name);
    boost::asio::awaitable<void> runRequest(PlannedRequest plan);
    boost::asio::awaitable<void> runFault(std::string name);
    boost::asio::awaitable<void> readInitialCounters();
    boost::asio::awaitable<CounterValues> readCounters();
    boost::asio::awaitable<void> sleepUntil(Instant time);
    void spawn(boost::asio::awaitable<void> task);

    boost::asio::io_context &context;
    const Scenario &scenario;
    const Instant start;
    HttpClient client;
    RequestSender sender;
    // Number of spawned tasks that have not ended.
    std::atomic<size_t> pendingTasks{0};
    std::mutex mutex;
    std::vector<Sample> samples;
    CounterValues initialCounters;
};

} // namespace tray
