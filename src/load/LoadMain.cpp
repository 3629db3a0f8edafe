// Program tray-load: sends an open-loop load to entry instances and reports on the answers.
#include "config/ProgramOptions.h"
#include "load/LoadRun.h"
#include "load/ReportText.h"
#include "observe/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace tray;

proto::LoadReport runScenario(const Scenario &scenario)
{
    boost::asio::io_context context;
    LoadRun run(context, scenario);
    proto::LoadReport report;
    boost::asio::co_spawn(context, run.run(),
                          [&](const std::exception_ptr &failure, proto::LoadReport result) {
                              if (failure)
                                  std::rethrow_exception(failure);
                              report = std::move(result);
                              context.stop();
                          });
    std::vector<std::thread> threads;
    for (uint32_t i = 1; i < scenario.load.threads(); ++i)
        threads.emplace_back([&] { context.run(); });
    context.run();
    for (auto &thread : threads)
        thread.join();
    return report;
}

/// Compares the report with the limits of the scenario and prints each one that is violated.
/// Returns the exit status.
int checkLimits(const proto::LoadSection &load, const proto::LoadReport &report)
{
    int status = ExitOk;
    for (const auto &tier : report.tiers()) {
        if (tier.attainment() < load.min_attainment()) {
            std::cout << "attainment of tier " << tier.name() << " is under "
                      << load.min_attainment() << '\n';
            status = ExitFailure;
        }
    }
    const auto &total = report.total();
    const auto failed = static_cast<double>(total.sent() - total.answered());
    if (failed > load.max_failed() * static_cast<double>(total.sent())) {
        std::cout << "the share of failed requests is over " << load.max_failed() << '\n';
        status = ExitFailure;
    }
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    proto::LoadSettings settings;
    std::string text;
    if (const auto status = readProgramOptions(
            argc, argv, "tray-load", "Sends an open-loop load and reports on the answers.",
            settings, scenarioFamilies(), &text))
        return *status;
    setUpLog("tray-load", settings.log().level());
    auto scenario = readScenario(settings.load(), text, "scenario");
    if (!isOk(scenario)) {
        std::cerr << "tray-load: " << error(scenario).message << '\n';
        return ExitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto report = runScenario(value(scenario));
    std::cout << reportTable(report);
    if (!settings.load().output().empty()) {
        if (auto written = writeReport(report, settings.load().output()); !isOk(written)) {
            std::cerr << "tray-load: " << error(written).message << '\n';
            return ExitFailure;
        }
    }
    return checkLimits(settings.load(), report);
}
