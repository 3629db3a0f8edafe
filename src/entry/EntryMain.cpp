// tray-entry: the process that takes callers' requests and dispatches them to upstreams.
#include "config/ProgramOptions.h"
#include "entry/ControlNodePorts.h"
#include "entry/EntryServer.h"
#include "net/AdminServer.h"
#include "net/Pause.h"
#include "net/Service.h"
#include "node/ClaimService.h"
#include "node/PlannerService.h"
#include "observe/Log.h"

#include "settings_entry.pb.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <iostream>

namespace {

using namespace tray;
namespace asio = boost::asio;

EntryOptions optionsOf(const proto::EntrySettings &settings)
{
    const auto &entry = settings.entry();
    EntryOptions options;
    options.dataCentre = settings.instance().data_centre();
    options.region = settings.instance().region();
    options.routing = entry.routing();
    options.retryPercent = entry.retry_percent();
    options.limits.bodyBytes = entry.body_limit_bytes();
    options.limits.headerBytes = entry.header_limit_bytes();
    options.limits.requestTimeout = milliseconds(entry.header_timeout_ms());
    options.bufferLimit = entry.answer_buffer_bytes();
    options.lateAnswerTime = milliseconds(entry.late_answer_ms());
    return options;
}

NodeIdentity identityOf(const proto::EntrySettings &settings)
{
    const auto &instance = settings.instance();
    return {instance.id(), instance.data_centre(), instance.region(), "entry", ""};
}

/// Owns all parts of the process, starts them and shuts them down in order.
class EntryProcess
{
public:
    explicit EntryProcess(const proto::EntrySettings &settings)
        : settings(settings), node(this->context, identityOf(settings), settings.platform(),
                                   settings.control(), this->metrics, this->events),
          state(this->node), claimService(this->context, this->node, this->metrics),
          planner(this->context, this->node, this->metrics, plannerSettings(settings.placement())),
          claims(this->node),
          server(this->context, optionsOf(settings), this->state, this->claims, this->metrics),
          admin(this->context, this->metrics, [this] { return this->isReady(); })
    {}

    Result<Unit> start()
    {
        this->metrics.gauge("tray_entry_in_flight",
                            [this] { return static_cast<double>(this->server.inFlight()); });
        const auto controlAddress = this->node.listen();
        if (!isOk(controlAddress))
            return error(controlAddress);
        const auto address =
            this->server.listen(value(parseAddress(this->settings.entry().listen())));
        if (!isOk(address))
            return error(address);
        const auto adminAddress =
            this->admin.listen(value(parseAddress(this->settings.admin().listen())));
        if (!isOk(adminAddress))
            return error(adminAddress);
        this->claimService.start();
        this->node.start(value(address));
        this->planner.start();
        spdlog::info("event=listening callers={} admin={} control={}", toString(value(address)),
                     toString(value(adminAddress)), toString(value(controlAddress)));
        return Unit{};
    }

    bool run()
    {
        const auto &entry = this->settings.entry();
        // The shutdown ends the remaining requests after the drain timeout; the additional time is
        // for writing their final answers.
        return runService(
            this->context, entry.threads(), [this] { return this->stop(); },
            milliseconds(entry.drain_grace_ms() + entry.drain_timeout_ms()) +
                EntryServer::FinalAnswerTime);
    }

private:
    bool isReady() const
    {
        return !this->stopping && this->node.isFresh(std::chrono::steady_clock::now());
    }

    asio::awaitable<void> stop()
    {
        this->stopping = true;
        const auto &entry = this->settings.entry();
        const Instant finalAnswersAt =
            clockNow() + milliseconds(entry.drain_grace_ms() + entry.drain_timeout_ms());
        // Runs concurrently with the rest of the shutdown, which may wait for the platform.
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, this->server.endRequestsAt(finalAnswersAt), asio::detached);
        co_await this->node.announceLeaving();
        // The load balancer sends callers here until its probe sees that the instance is not ready.
        co_await pauseFor(milliseconds(entry.drain_grace_ms()));
        this->server.drain();
        while (!this->server.isDrained())
            co_await pauseFor(milliseconds(10));
        this->admin.drain();
        this->planner.stop();
        this->claimService.stop();
        this->node.stop();
    }

    const proto::EntrySettings settings;
    asio::io_context context;
    Metrics metrics;
    EventRing events;
    ControlNode node;
    ControlNodeState state;
    ClaimService claimService;
    PlannerService planner;
    ControlNodeClaims claims;
    EntryServer server;
    AdminServer admin;
    std::atomic<bool> stopping{false};
};

} // namespace

int main(int argc, char **argv)
{
    proto::EntrySettings settings;
    if (const auto status = readProgramOptions(
            argc, argv, "tray-entry", "Entry instance: takes callers' requests.", settings))
        return *status;
    setUpLog(settings.instance().id(), settings.log().level());
    EntryProcess process(settings);
    if (const auto started = process.start(); !isOk(started)) {
        std::cerr << "tray-entry: " << error(started).message << "\n";
        return ExitFailure;
    }
    endProcess(process.run() ? ExitOk : ExitFailure);
}
