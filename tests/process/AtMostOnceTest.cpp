// Runs the real processes and tests at-most-once execution of non-idempotent requests, requests
// that crash upstreams, and unresponsive connections.
#include "process/ProcessRig.h"

#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>

using namespace tray;
using namespace tray::test;
using std::chrono::seconds;

namespace {

/// Number of executions for each idempotency key, summed over all services.
std::map<std::string, int64_t> executionsByKey(ProcessRig &rig, int services)
{
    std::map<std::string, int64_t> counts;
    for (int number = 0; number < services; ++number) {
        const auto page = rig.call(rig.serviceAdmin(number), "GET", "/executions");
        REQUIRE(page.status == 200);
        const auto body = boost::json::parse(page.body);
        for (const auto &field : body.at("by_key").as_object())
            counts[std::string(field.key())] += field.value().to_number<int64_t>();
    }
    return counts;
}

} // namespace

TEST_CASE("A non-idempotent request runs at most once, over two entries and with kills")
{
    // Guards against a second execution when a caller sends a request with the same idempotency key
    // through both entries while an agent and an entry are killed.
    ProcessRig rig;
    RigLayout layout;
    layout.engines = 1;
    layout.models = 1;
    layout.minReplicas = 1;
    layout.services = 2;
    layout.serviceSettings = "execute_ms = 30\n";
    REQUIRE(rig.startSystem(layout));
    auto load =
        rig.startLoad(rig.scenarioHead(6) +
                      "[flow.bookings]\nclient_account = rig\nkind = service\nservice = desk\n"
                      "method = POST\npath = new\nidempotency_key = true\nrate = 40\n"
                      "repeats = 2\nexpectation_ms = 10000\n");
    std::this_thread::sleep_for(milliseconds(1500));
    rig.signal("service-agent0", SIGKILL);
    std::this_thread::sleep_for(milliseconds(1500));
    rig.signal("entry0", SIGKILL);
    std::this_thread::sleep_for(milliseconds(500));
    rig.restart("entry0");
    const auto report = load.get();
    INFO(report.ShortDebugString());
    const auto counts = executionsByKey(rig, layout.services);
    for (const auto &row : counts) {
        INFO(row.first);
        CHECK(row.second == 1);
    }
    CHECK(counts.size() >= report.total().answered());
    CHECK(report.total().answered() * 2 > report.total().sent());
}

TEST_CASE("A crashing request takes down at most two engines")
{
    // Guards against retries, by the entries or by the caller, that send a request which crashes
    // engines to one engine after another.
    ProcessRig rig;
    RigLayout layout;
    layout.engines = 4;
    layout.models = 1;
    layout.minReplicas = 4;
    layout.services = 0;
    REQUIRE(rig.startSystem(layout));
    for (int number = 0; number < layout.engines; ++number)
        REQUIRE(rig.fault(rig.engineAdmin(number), R"({"crash_text":"boom"})"));
    // The caller retries through both entries, whatever the answer.
    for (int attempt = 0; attempt < 10; ++attempt) {
        CHECK(rig.complete(attempt % 2, "m1", "boom").status != 200);
        std::this_thread::sleep_for(milliseconds(100));
    }
    int crashed = 0;
    for (int number = 0; number < layout.engines; ++number)
        crashed += rig.isRunning(fmt::format("engine{}", number)) ? 0 : 1;
    CHECK(crashed >= 1);
    CHECK(crashed <= 2);
    for (int entry = 0; entry < layout.entries; ++entry)
        CHECK(rig.complete(entry, "m1", "harmless").status == 200);
}

TEST_CASE("An unresponsive connection delays no other request")
{
    // Guards against requests that share or wait for a connection that has permanently stopped
    // delivering data.
    ProcessRig rig;
    RigLayout layout;
    layout.relayed = true;
    REQUIRE(rig.startSystem(layout));
    auto load =
        rig.startLoad(rig.scenarioHead(5) +
                      "[flow.steady]\nclient_account = rig\nkind = completion\nmodels = m1,m2\n"
                      "rate = 30\nstream = true\noutput_tokens = 20\n"
                      "expectation_ms = 5000\n");
    std::this_thread::sleep_for(seconds(2));
    REQUIRE(rig.fault(rig.relayAdmin(), R"({"silence":true})"));
    const auto report = load.get();
    INFO(report.ShortDebugString());
    CHECK(report.total().answered() == report.total().sent());
    // Allows 750 ms until the unresponsive connection is detected, then a new connection and the
    // rest of the answer.
    CHECK(report.total().latency().max_ms() < 3000);
    CHECK(report.total().latency().p50_ms() < 500);
}
