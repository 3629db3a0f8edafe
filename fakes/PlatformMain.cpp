// Program fake-platform.
#include "FakePlatform.h"
#include "config/ProgramOptions.h"
#include "net/AdminServer.h"
#include "net/Service.h"
#include "observe/Log.h"

#include <iostream>

using namespace tray;

int main(int argc, char **argv)
{
    proto::FakePlatformSettings settings;
    if (const auto status =
            readProgramOptions(argc, argv, "fake-platform",
                               "Stand-in for the object API and the instance list.", settings))
        return *status;
    setUpLog("fake-platform", settings.log().level());
    boost::asio::io_context context;
    const Metrics metrics;
    FakePlatform platform(context, settings.fake_platform());
    AdminServer admin(context, metrics, [] { return true; });
    admin.addRoute("/fault", platform.adminRoute());
    admin.addRoute("/stats", platform.adminRoute());
    const auto listen = parseAddress(settings.fake_platform().listen());
    const auto adminListen = parseAddress(settings.admin().listen());
    if (!isOk(listen) || !isOk(adminListen))
        return ExitUsage;
    const auto bound = platform.listen(value(listen));
    const auto adminBound = admin.listen(value(adminListen));
    if (!isOk(bound) || !isOk(adminBound)) {
        std::cerr << "fake-platform: " << error(isOk(bound) ? adminBound : bound).message << '\n';
        return ExitFailure;
    }
    spdlog::info("event=listening address={} admin={}", toString(value(bound)),
                 toString(value(adminBound)));
    // Nothing depends on the requests in flight at a stand-in, so it stops immediately.
    const auto stop = []() -> boost::asio::awaitable<void> { co_return; };
    return runService(context, 1, stop, std::chrono::seconds(1)) ? ExitOk : ExitFailure;
}
