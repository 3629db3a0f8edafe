// Lists, ticket commands and time line of trayctl against running nodes.
#include "node/NodeCluster.h"

#include "config/ProgramOptions.h"
#include "ctl/Lists.h"
#include "ctl/TicketCommands.h"
#include "ctl/Timeline.h"

#include <boost/json.hpp>
#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <spdlog/spdlog.h>
#include <unistd.h>

using namespace tray;
using namespace tray::test;

namespace {

/// File with a ticket, removed at the end.
struct TicketFile
{
    explicit TicketFile(const std::string &text)
        : path("/tmp/tray-ticket-" + std::to_string(::getpid()) + "-" + toHex(newNonce()))
    {
        std::ofstream(this->path) << text;
    }
    ~TicketFile() { std::remove(this->path.c_str()); }

    const std::string path;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("Operators work with a running system")
{
    spdlog::set_level(spdlog::level::off);
    TestPlatform platform;
    auto entry = startNode({"entry-1", "dc", "r", "entry", ""}, platform.address);
    auto agent = startNode({"agent-1", "dc", "r", "agent", "gpu"}, platform.address);
    proto::UpstreamStatus status;
    status.set_upstream("gpu");
    status.set_instance("agent-1");
    status.set_epoch(1);
    status.set_sequence(1);
    status.set_pool("engines");
    status.set_memory_bytes(100);
    status.set_control_address(toString(agent->control));
    agent->node->setOwnStatus(status);
    REQUIRE(eventually(std::chrono::seconds(5), [&] {
        return entry->node->instances()->instances_size() == 2 &&
               agent->node->instances()->instances_size() == 2 &&
               entry->node->statuses()->size() == 1;
    }));
    CtlSession session(entry->control, platform.address, std::chrono::seconds(2));
    TicketCommands tickets(session, OutputForm::Table, std::chrono::seconds(6));
    const TicketFile good(R"({"number": 1, "objects": [
        {"name": "engines", "pool": {"engines": true}},
        {"name": "llm", "model": {"pool": "engines", "version": "v1", "weight_bytes": 60,
                                  "min_replicas": 1}}]})");
    SUBCASE("a ticket is checked, submitted, followed and listed")
    {
        CHECK(tickets.check(good.path) == ExitOk);
        CHECK(agent->node->headVersion() == 0);
        CHECK(tickets.submit(good.path, true) == ExitOk);
        CHECK(agent->node->headVersion() == 1);
        CHECK(tickets.submit(good.path, true) == ExitOk);
        CHECK(tickets.follow(1) == ExitOk);
        CHECK(tickets.follow(2) == ExitFailure);
        const auto table = makeList(session, ListKind::Models, OutputForm::Table);
        REQUIRE(isOk(table));
        CHECK(contains(value(table), "llm"));
        const auto json = makeList(session, ListKind::Models, OutputForm::Json);
        REQUIRE(isOk(json));
        CHECK(boost::json::parse(value(json)).as_array().size() == 1);
    }
    SUBCASE("replicas that the engines of the system cannot hold are refused")
    {
        const TicketFile large(R"({"number": 1, "objects": [
            {"name": "engines", "pool": {"engines": true}},
            {"name": "llm", "model": {"pool": "engines", "version": "v1", "weight_bytes": 160,
                                      "min_replicas": 1}}]})");
        CHECK(tickets.submit(large.path, true) == ExitFailure);
        CHECK(entry->node->headVersion() == 0);
    }
    SUBCASE("files that are no tickets and outages have their own exit status")
    {
        const TicketFile broken("{\"number\": \"x\"");
        CHECK(tickets.submit(broken.path, true) == ExitUsage);
        CHECK(tickets.submit("/nonexistent", true) == ExitUsage);
        boost::json::object fault;
        fault["outage"] = true;
        platform.fault(fault);
        TicketCommands hasty(session, OutputForm::Json, milliseconds(200));
        CHECK(hasty.submit(good.path, true) == ExitUnreachable);
    }
    SUBCASE("upstreams and instances are listed")
    {
        const auto upstreams = makeList(session, ListKind::Upstreams, OutputForm::Table);
        REQUIRE(isOk(upstreams));
        CHECK(contains(value(upstreams), "gpu"));
        CHECK(contains(value(upstreams), "serving"));
        const auto instances = makeList(session, ListKind::Instances, OutputForm::Table);
        REQUIRE(isOk(instances));
        CHECK(contains(value(instances), "agent-1"));
    }
    SUBCASE("the time line holds the events of all processes in order, and escapes them")
    {
        entry->events.add(wallNow(), "test", "<b>", "first");
        agent->events.add(wallNow() + 5, "test", "<b>", "second");
        const auto timeline = collectTimeline(session, "<b>");
        REQUIRE(isOk(timeline));
        REQUIRE(value(timeline).events.size() == 2);
        CHECK(value(timeline).events[0].process() == "entry-1");
        CHECK(value(timeline).events[1].process() == "agent-1");
        const auto page = timelineHtml(value(timeline));
        CHECK(contains(page, "&lt;b&gt;"));
        CHECK_FALSE(contains(page, "<b>"));
        CHECK_FALSE(contains(page, "http"));
    }
}
