#include "load/LoadRun.h"

#include "base/Hash.h"
#include "load/Arrivals.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <spdlog/spdlog.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Time between the start of the program and the start of the load, for the connections that read
// the counters.
constexpr auto StartDelay = milliseconds(100);
constexpr auto AdminTimeout = milliseconds(2000);
constexpr auto PendingPollInterval = milliseconds(20);

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

int signalNumber(const std::string &name)
{
    static const std::map<std::string, int> Numbers = {
        {"term", SIGTERM}, {"kill", SIGKILL}, {"stop", SIGSTOP}, {"cont", SIGCONT}};
    return Numbers.at(name);
}

} // namespace

LoadRun::LoadRun(asio::io_context &context, const Scenario &scenario)
    : context(context), scenario(scenario), start(std::chrono::steady_clock::now() + StartDelay),
      client(context), sender(scenario, this->client, this->start)
{}

asio::awaitable<void> LoadRun::sleepUntil(Instant time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

void LoadRun::spawn(asio::awaitable<void> task)
{
    ++this->pendingTasks;
    asio::co_spawn(asio::make_strand(this->context), std::move(task),
                   [this](const std::exception_ptr &failure) {
                       --this->pendingTasks;
                       if (failure)
                           std::rethrow_exception(failure);
                   });
}

asio::awaitable<void> LoadRun::runFlow(std::string name)
{
    const auto &flow = this->scenario.flows.at(name).flow();
    Arrivals arrivals(flow, hash64(name, this->scenario.load.seed()));
    const Duration end = fromSeconds(this->scenario.load.duration_s());
    for (uint64_t sequence = 0;; ++sequence) {
        const Duration offset = arrivals.next();
        if (offset >= end)
            co_return;
        PlannedRequest plan;
        plan.flow = name;
        plan.intended = offset;
        plan.model = arrivals.chooseModel(offset);
        plan.entryIndex = sequence;
        plan.sequence = sequence;
        co_await this->sleepUntil(this->start + offset);
        this->spawn(this->runRequest(std::move(plan)));
    }
}

asio::awaitable<void> LoadRun::runRequest(PlannedRequest plan)
{
    Sample sample = co_await this->sender.send(std::move(plan));
    const std::lock_guard lock(this->mutex);
    this->samples.push_back(std::move(sample));
}

asio::awaitable<void> LoadRun::runFault(std::string name)
{
    const auto &fault = this->scenario.faults.at(name).fault();
    if (fault.at_s() > this->scenario.load.duration_s())
        co_return;
    co_await this->sleepUntil(this->start + fromSeconds(fault.at_s()));
    spdlog::info("event=fault name={} pid={} address={}", name, fault.pid(), fault.address());
    if (fault.pid() > 0)
        ::kill(static_cast<pid_t>(fault.pid()), signalNumber(fault.signal()));
    const auto addresses = parseAddressList(fault.address());
    for (const auto &address : addresses) {
        HttpRequest request;
        request.method = "POST";
        request.target = "/fault";
        request.headers = contentType("application/json");
        request.body = fault.body();
        const auto result = co_await this->client.request(address, request, AdminTimeout);
        if (!isOk(result) || value(result).status >= 300)
            spdlog::warn("event=fault_failed name={} address={}", name, toString(address));
    }
}

asio::awaitable<CounterValues> LoadRun::readCounters()
{
    CounterValues values;
    for (const auto &[name, settings] : this->scenario.counters) {
        double sum = 0;
        const auto addresses = parseAddressList(settings.counter().addresses());
        const auto metrics = splitCommas(settings.counter().metrics());
        for (const auto &address : addresses) {
            HttpRequest request;
            request.target = "/metrics";
            const auto page = co_await this->client.request(address, request, AdminTimeout);
            for (const auto &metric : metrics)
                sum += isOk(page) ? sumMetric(value(page).body, metric) : 0;
        }
        values[name] = sum;
    }
    co_return values;
}

asio::awaitable<void> LoadRun::readInitialCounters()
{
    co_await this->sleepUntil(this->start + fromSeconds(this->scenario.load.warm_up_s()));
    this->initialCounters = co_await this->readCounters();
}

asio::awaitable<proto::LoadReport> LoadRun::run()
{
    this->spawn(this->readInitialCounters());
    for (const auto &[name, settings] : this->scenario.faults)
        this->spawn(this->runFault(name));
    for (const auto &[name, settings] : this->scenario.flows)
        this->spawn(this->runFlow(name));
    co_await this->sleepUntil(this->start + fromSeconds(this->scenario.load.duration_s()));
    while (this->pendingTasks > 0)
        co_await this->sleepUntil(std::chrono::steady_clock::now() + PendingPollInterval);
    const CounterValues finalCounters = co_await this->readCounters();
    const std::lock_guard lock(this->mutex);
    co_return buildReport(this->scenario, this->samples, this->initialCounters, finalCounters);
}

} // namespace tray
