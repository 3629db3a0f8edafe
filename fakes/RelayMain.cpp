// Program fake-relay: stand-in for the network between two data centres or regions.
#include "Relay.h"
#include "config/ProgramOptions.h"
#include "config/SectionFamily.h"
#include "net/AdminServer.h"
#include "net/Service.h"
#include "observe/Log.h"

#include <iostream>

namespace {

using namespace tray;
namespace asio = boost::asio;

asio::awaitable<void> serveFault(Relay &relay, HttpRequest request, HttpResponder &responder)
{
    const auto result = relay.applyFault(request.body);
    const int status = isOk(result) ? 200 : 400;
    HttpResponse response =
        makeResponse(status, "text/plain", isOk(result) ? "ok\n" : error(result).message + "\n");
    co_await responder.respond(std::move(response));
}

Result<Unit> openForwards(Relay &relay,
                          const std::map<std::string, proto::RelayForwardSettings> &forwards)
{
    for (const auto &[name, settings] : forwards) {
        const auto listen = parseAddress(settings.forward().listen());
        const auto target = parseAddress(settings.forward().target());
        const auto bound = relay.forward(value(listen), value(target));
        if (!isOk(bound))
            return error(bound);
        spdlog::info("event=listen name={} address={} target={}", name, toString(value(bound)),
                     settings.forward().target());
    }
    return Unit{};
}

asio::awaitable<void> stopNow()
{
    co_return;
}

} // namespace

int main(int argc, char **argv)
{
    proto::FakeRelaySettings settings;
    std::string text;
    if (const auto status = readProgramOptions(
            argc, argv, "fake-relay", "Forwards TCP with delay, limited bandwidth and faults.",
            settings, {"forward"}, &text))
        return *status;
    setUpLog("fake-relay", settings.log().level());
    const auto forwards = readFamily<proto::RelayForwardSettings>(text, "settings", "forward");
    if (!isOk(forwards)) {
        std::cerr << "fake-relay: " << error(forwards).message << '\n';
        return ExitUsage;
    }
    asio::io_context context;
    Metrics metrics;
    Relay relay(context, settings.relay(), metrics);
    metrics.gauge("relay_connections", [&] { return static_cast<double>(relay.connections()); });
    AdminServer admin(context, metrics, [] { return true; });
    admin.addRoute("/fault", [&](HttpRequest request, HttpResponder &responder) {
        return serveFault(relay, std::move(request), responder);
    });
    auto opened = openForwards(relay, value(forwards));
    const auto adminAddress = value(parseAddress(settings.admin().listen()));
    const auto bound = admin.listen(adminAddress);
    if (!isOk(opened) || !isOk(bound)) {
        std::cerr << "fake-relay: " << (isOk(opened) ? error(bound) : error(opened)).message
                  << '\n';
        return ExitFailure;
    }
    spdlog::info("event=listen name=admin address={}", toString(value(bound)));
    return runService(context, 1, stopNow, std::chrono::seconds(1)) ? ExitOk : ExitFailure;
}
