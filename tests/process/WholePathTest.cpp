// Tests the complete request path with real processes: answers, process faults and platform
// outages.
#include "process/ProcessRig.h"

#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace tray;
using namespace tray::test;
using std::chrono::seconds;

namespace {

HttpHeaders clientAccountHeaders()
{
    return {{"Authorization", "Bearer rig-key"}, {"Content-Type", "application/json"}};
}

HttpHeaders headersWithKey(const std::string &key)
{
    auto headers = clientAccountHeaders();
    headers.emplace_back("Idempotency-Key", key);
    return headers;
}

/// Flow of short completions over both models at the given rate in requests per second.
std::string steadyFlow(int rate)
{
    return fmt::format("[flow.steady]\nclient_account = rig\nkind = completion\nmodels = m1,m2\n"
                       "rate = {}\noutput_tokens = 5\nexpectation_ms = 5000\n",
                       rate);
}

double answeredShare(const proto::LoadReport &report)
{
    return static_cast<double>(report.total().answered()) /
           static_cast<double>(std::max<uint64_t>(1, report.total().sent()));
}

} // namespace

TEST_CASE("Requests pass through entry, agent and upstream")
{
    // Guards against processes that work on their own but are incompatible with each other.
    ProcessRig rig;
    REQUIRE(rig.startSystem({}));
    const auto completion = rig.complete(0, "m1", "hello");
    CHECK(completion.status == 200);
    CHECK(completion.body.find("choices") != std::string::npos);
    const auto streamed = rig.complete(1, "m2", "hello", true);
    CHECK(streamed.status == 200);
    CHECK(streamed.body.find("data: [DONE]") != std::string::npos);
    const auto service = rig.call(rig.entry(0), "POST", "/services/desk/new", "{\"pair\":12}",
                                  clientAccountHeaders());
    CHECK(service.status == 200);
    CHECK(service.body.find("pair") != std::string::npos);
    CHECK(rig.complete(0, "unknown", "hello").status == 404);
    CHECK(rig.call(rig.entry(0), "GET", "/v1/models").status == 401);
    SUBCASE("all processes stop gracefully")
    {
        for (const auto *name : {"entry0", "entry1", "engine-agent0", "service-agent0"})
            rig.signal(name, SIGTERM);
        for (const auto *name : {"entry0", "entry1", "engine-agent0", "service-agent0"}) {
            INFO(name);
            CHECK(rig.awaitExit(name, seconds(10)) == 0);
        }
    }
}

TEST_CASE("Requests are answered while a process is killed or paused")
{
    ProcessRig rig;
    REQUIRE(rig.startSystem({}));
    const std::string scenario = rig.scenarioHead(5) + steadyFlow(20);
    SUBCASE("kill -9 of an agent")
    {
        // Guards against requests that stay assigned to a killed agent until their deadline.
        auto load = rig.startLoad(scenario);
        std::this_thread::sleep_for(seconds(2));
        rig.signal("engine-agent0", SIGKILL);
        const auto report = load.get();
        INFO(report.ShortDebugString());
        CHECK(answeredShare(report) >= 0.95);
        CHECK(report.total().latency().max_ms() < 5000);
    }
    SUBCASE("SIGSTOP of an agent")
    {
        // Guards against requests that wait for a paused agent.
        auto load = rig.startLoad(scenario);
        std::this_thread::sleep_for(seconds(1));
        rig.signal("engine-agent0", SIGSTOP);
        std::this_thread::sleep_for(seconds(2));
        rig.signal("engine-agent0", SIGCONT);
        const auto report = load.get();
        INFO(report.ShortDebugString());
        CHECK(answeredShare(report) >= 0.95);
        CHECK(report.total().latency().max_ms() < 5000);
    }
    SUBCASE("SIGSTOP of an entry")
    {
        // Guards against one paused entry that delays callers of the other entry.
        rig.signal("entry0", SIGSTOP);
        const std::string head = rig.scenarioHead(4);
        const auto otherEntryOnly =
            head.substr(0, head.find("[entry.e0]")) + head.substr(head.find("[entry.e1]"));
        const auto report = rig.startLoad(otherEntryOnly + steadyFlow(20)).get();
        rig.signal("entry0", SIGCONT);
        INFO(report.ShortDebugString());
        CHECK(report.total().answered() == report.total().sent());
        CHECK(report.total().latency().max_ms() < 3000);
        CHECK(ProcessRig::eventually(
            seconds(5), [&] { return rig.complete(0, "m1", "after the pause").status == 200; }));
    }
}

TEST_CASE("Requests are answered during a platform outage")
{
    // Guards against a system that stops serving during a platform outage, and against rejections
    // with a wrong statement on whether the request ran.
    ProcessRig rig;
    REQUIRE(rig.startSystem({}));
    REQUIRE(rig.fault(rig.platformAdmin(), R"({"outage":true})"));
    const auto report = rig.startLoad(rig.scenarioHead(6) + steadyFlow(20)).get();
    INFO(report.ShortDebugString());
    CHECK(report.total().answered() == report.total().sent());
    const auto begin = std::chrono::steady_clock::now();
    const auto refused =
        rig.call(rig.entry(0), "POST", "/services/desk/new", "{}", headersWithKey("outage-1"));
    CHECK(refused.status == 503);
    CHECK(refused.body.find("\"ran\":\"no\"") != std::string::npos);
    CHECK(!findHeader(refused.headers, "Retry-After").empty());
    CHECK(std::chrono::steady_clock::now() - begin < seconds(3));
    REQUIRE(rig.fault(rig.platformAdmin(), R"({"outage":false})"));
    CHECK(ProcessRig::eventually(seconds(8), [&] {
        return rig.call(rig.entry(0), "POST", "/services/desk/new", "{}",
                        headersWithKey("outage-1"))
                   .status == 200;
    }));
}

TEST_CASE("SIGTERM of an entry cuts none of 200 streams in flight")
{
    // Guards against a graceful stop that closes connections before their streams are complete.
    ProcessRig rig;
    RigLayout layout;
    layout.engineSettings = "slots = 256\nstep_us = 20000\nstep_us_per_request = 0\n";
    layout.agentSettings = "concurrency = 256\n";
    REQUIRE(rig.startSystem(layout));
    const std::string head = rig.scenarioHead(2);
    auto load =
        rig.startLoad(head.substr(0, head.find("[entry.e1]")) +
                      "[flow.streams]\nclient_account = rig\nkind = completion\nmodels = m1,m2\n"
                      "rate = 400\nlimit = 200\nstream = true\noutput_tokens = 120\n"
                      "expectation_ms = 10000\n");
    // The last stream starts after about half a second; the first ends after more than two seconds.
    std::this_thread::sleep_for(milliseconds(1500));
    rig.signal("entry0", SIGTERM);
    const auto report = load.get();
    INFO(report.ShortDebugString());
    CHECK(report.total().sent() == 200);
    CHECK(report.total().answered() == 200);
    CHECK(report.total().latency().p50_ms() > 2000);
    CHECK(rig.awaitExit("entry0", seconds(10)) == 0);
}
