// Main function of tray-agent.
#include "agent/Agent.h"
#include "config/ProgramOptions.h"
#include "net/Service.h"
#include "observe/Log.h"

#include <cstdlib>
#include <iostream>

using namespace tray;

namespace {

/// Exit status of an agent that a newer agent has replaced.
constexpr int ExitSuperseded = 3;

} // namespace

int main(int argc, char **argv)
{
    proto::AgentSettings settings;
    const auto status = readProgramOptions(argc, argv, "tray-agent",
                                           "Serves one engine or plain service", settings);
    if (status)
        return *status;
    setUpLog("tray-agent", settings.log().level());
    boost::asio::io_context context(1);
    Agent agent(context, settings);
    // A superseded agent must not send any further command, so it does not stop gracefully.
    agent.setOnSuperseded([] { std::_Exit(ExitSuperseded); });
    if (const auto started = agent.start(); !isOk(started)) {
        std::cerr << "tray-agent: " << error(started).message << '\n';
        return ExitFailure;
    }
    std::cout << "data=" << toString(agent.dataAddress())
              << " admin=" << toString(agent.adminAddress()) << std::endl;
    const auto limit = agent.maxStopTime();
    const auto stop = [&agent] { return agent.stop(); };
    endProcess(runService(context, 1, stop, limit) ? ExitOk : ExitFailure);
}
