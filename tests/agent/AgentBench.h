// Runs the attempt runner and data server of an agent with a fake engine, in one process and one
// thread.
#pragma once

#include "FakeEngine.h"
#include "agent/DataServer.h"
#include "config/SettingsReader.h"
#include "edge/HttpEnginePort.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

namespace tray::test {

inline const Address AnyPort{"127.0.0.1", 0};

/// Parts of an agent without a control node.
struct AgentBench
{
    explicit AgentBench(uint64_t memoryBytes = 100000, uint32_t concurrency = 4)
    {
        proto::FakeEngineSettings settings;
        applyDefaults(settings);
        auto &engineSettings = *settings.mutable_engine();
        engineSettings.set_step_us(1000);
        engineSettings.set_step_us_per_request(10);
        engineSettings.set_prefill_us_per_1k(100);
        engineSettings.set_report_lag_ms(0);
        engineSettings.set_kv_bytes_per_token(10);
        engineSettings.set_memory_bytes(memoryBytes);
        this->engine = std::make_unique<fakes::FakeEngine>(this->context, engineSettings);
        this->engineAddress = value(this->engine->listen(AnyPort));
        this->requirements->models["m"] = {"1", 10000, 1, 10, 1000};
        this->requirements->adapters["a"] = {"m", "1", 1000};
        this->engine->preload("model", "m", "1", 10000);
        this->port = std::make_unique<HttpEnginePort>(this->context, this->engineAddress);
        EngineTimes times;
        times.reportInterval = milliseconds(20);
        times.quarantine = milliseconds(50);
        this->controller = std::make_unique<EngineController>(
            this->context, *this->port, "u1", "pool", times, this->engineHooks(), this->metrics);
        UpstreamPorts ports;
        ports.controller = this->controller.get();
        ports.engine = this->port.get();
        AdmissionLimits limits;
        limits.concurrency = concurrency;
        this->runner = std::make_unique<AttemptRunner>(this->context, limits, ports,
                                                       this->runnerHooks(), this->metrics);
        this->server = std::make_unique<DataServer>(this->context, *this->runner, milliseconds(50),
                                                    this->metrics);
        this->address = value(this->server->listen(AnyPort));
        boost::asio::co_spawn(this->context, this->controller->run(), [](std::exception_ptr) {});
        this->controller->acquireControl(1);
    }

    EngineHooks engineHooks()
    {
        EngineHooks hooks;
        hooks.requirements = [this] { return this->requirements; };
        hooks.statuses = [] { return StatusList(); };
        hooks.requestedItems = [this] { return this->requested; };
        hooks.mayRepair = [] { return true; };
        hooks.demand = [this] { return this->runner->demand(); };
        hooks.inUse = [this] { return this->runner->inUse(); };
        hooks.onChange = [this] { this->runner->processQueue(); };
        hooks.onSuperseded = [this] { this->superseded = true; };
        return hooks;
    }

    RunnerHooks runnerHooks()
    {
        RunnerHooks hooks;
        hooks.headVersion = [this] { return this->head; };
        hooks.epoch = [] { return uint64_t{1}; };
        hooks.noteHeadVersion = [this](uint64_t seen) { this->headSeen = seen; };
        hooks.awaitHeadVersion = [this](uint64_t wanted, Instant deadline) {
            return this->awaitHead(wanted, deadline);
        };
        hooks.acceptsWork = [this] { return this->fresh; };
        hooks.requirements = [this] { return this->requirements; };
        hooks.reportCrash = [this](uint64_t digest) { this->crashes.push_back(digest); };
        return hooks;
    }

    boost::asio::awaitable<bool> awaitHead(uint64_t wanted, Instant deadline)
    {
        while (this->head < wanted && std::chrono::steady_clock::now() < deadline)
            co_await this->pause(milliseconds(5));
        co_return this->head >= wanted;
    }

    boost::asio::awaitable<void> pause(Duration time);
    /// Waits until the agent may send commands to its engine.
    boost::asio::awaitable<void> waitUntilReady();
    boost::asio::awaitable<std::unique_ptr<FrameChannel>> connect();
    /// Returns the next frame that is neither Heartbeat nor Admitted.
    boost::asio::awaitable<proto::Frame> nextFrame(FrameChannel &channel);
    /// Reads until the final frame and returns it; appends the data of the answer to the text.
    boost::asio::awaitable<proto::Frame> finalFrame(FrameChannel &channel, std::string *text);
    /// Runs a task and the agent until the task ends.
    void run(boost::asio::awaitable<void> task);

    boost::asio::io_context context{1};
    Metrics metrics;
    std::unique_ptr<fakes::FakeEngine> engine;
    Address engineAddress;
    std::shared_ptr<ItemRequirements> requirements = std::make_shared<ItemRequirements>();
    RequestedItems requested;
    std::unique_ptr<HttpEnginePort> port;
    std::unique_ptr<EngineController> controller;
    std::unique_ptr<AttemptRunner> runner;
    std::unique_ptr<DataServer> server;
    Address address;
    uint64_t head = 1;
    uint64_t headSeen = 0;
    bool fresh = true;
    bool superseded = false;
    std::vector<uint64_t> crashes;
};

/// Frame that opens an attempt for model m.
proto::Frame attemptFrame(const std::string &id, const std::string &prompt, int tokens,
                          bool stream = true);
/// Frame with the identity of an attempt and no body.
proto::Frame bareFrame(const std::string &id);

} // namespace tray::test
