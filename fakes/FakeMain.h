// Common main function of the stand-in programs: reads the settings, serves the admin pages and
// runs the context on one thread.
#pragma once

#include "base/Address.h"
#include "config/ProgramOptions.h"
#include "net/AdminServer.h"
#include "net/Service.h"
#include "observe/Log.h"

#include <iostream>

namespace tray::fakes {

/// Runs a stand-in on one thread until a signal. make(context, settings) creates it; listenOn
/// returns the address on which it serves its protocol. Prints both bound addresses to standard
/// output.
template <typename Settings, typename Make>
int runFake(int argc, char **argv, const std::string &name, const std::string &description,
            const std::string &(*listenOn)(const Settings &), Make make)
{
    Settings settings;
    if (const auto status = readProgramOptions(argc, argv, name, description, settings))
        return *status;
    setUpLog(name, settings.log().level());
    boost::asio::io_context context(1);
    auto fake = make(context, settings);
    Metrics metrics;
    AdminServer admin(context, metrics, [] { return true; });
    const auto page = [&](HttpRequest request, HttpResponder &responder) {
        return fake->serveAdmin(std::move(request), responder);
    };
    admin.addRoute("/fault", page);
    admin.addRoute("/executions", page);
    const auto bound = fake->listen(value(parseAddress(listenOn(settings))));
    const auto adminBound = admin.listen(value(parseAddress(settings.admin().listen())));
    if (!isOk(bound) || !isOk(adminBound)) {
        std::cerr << name << ": " << error(isOk(bound) ? adminBound : bound).message << '\n';
        return ExitFailure;
    }
    std::cout << "listen=" << toString(value(bound)) << " admin=" << toString(value(adminBound))
              << std::endl;
    const auto stop = [&]() -> boost::asio::awaitable<void> {
        fake->stop();
        admin.drain();
        co_return;
    };
    return runService(context, 1, stop, std::chrono::seconds(5)) ? ExitOk : ExitFailure;
}

} // namespace tray::fakes
