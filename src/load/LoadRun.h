// One open-loop run: flows, faults and counters on a shared context.
#pragma once

#include "load/ReportBuilder.h"
#include "load/RequestSender.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>

namespace tray {

/// Runs a scenario. Requests are sent at their intended times, whatever has become of earlier ones.
class LoadRun
{
public:
    LoadRun(boost::asio::io_context &context, const Scenario &scenario);

    /// Runs to the end, with the last answers; the context must be run by the caller.
    boost::asio::awaitable<proto::LoadReport> run();

private:
    boost::asio::awaitable<void> runFlow(std::string name);
    boost::asio::awaitable<void> runOne(PlannedRequest plan);
    boost::asio::awaitable<void> runFault(std::string name);
    boost::asio::awaitable<void> readBefore();
    boost::asio::awaitable<CounterValues> readCounters();
    boost::asio::awaitable<void> sleepUntil(Instant time);
    void spawn(boost::asio::awaitable<void> task);

    boost::asio::io_context &context;
    const Scenario &scenario;
    const Instant start;
    HttpClient client;
    RequestSender sender;
    // Tasks that have not ended.
    std::atomic<size_t> pending{0};
    std::mutex mutex;
    std::vector<Sample> samples;
    CounterValues before;
};

} // namespace tray
