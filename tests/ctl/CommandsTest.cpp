// Lists, ticket commands and time line of trayctl with running nodes. Guards against a command that
// reports success, or the wrong exit status, for a ticket that was not accepted.
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

/// File with a ticket; removed by the destructor.
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

TEST_CASE("trayctl commands run against a running system")
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
    TicketCommands tickets(session, OutputFormat::Table, std::chrono::seconds(6));
    const TicketFile validFile(R"({"number": 1, "objects": [
        {"name": "engines", "pool": {"engines": true}},
        {"name": "llm", "model": {"pool": "engines", "version": "v1", "weight_bytes": 60,
                                  "min_replicas": 1}}]})");
    SUBCASE("a ticket is checked, submitted and followed, and its model is listed")
    {
        CHECK(tickets.check(validFile.path) == ExitOk);
        CHECK(agent->node->headVersion() == 0);
        CHECK(tickets.submit(validFile.path, true) == ExitOk);
        CHECK(agent->node->headVersion() == 1);
        CHECK(tickets.submit(validFile.path, true) == ExitOk);
        CHECK(tickets.follow(1) == ExitOk);
        CHECK(tickets.follow(2) == ExitFailure);
        const auto table = formatList(session, ListKind::Models, OutputFormat::Table);
        REQUIRE(isOk(table));
        CHECK(contains(value(table), "llm"));
        const auto json = formatList(session, ListKind::Models, OutputFormat::Json);
        REQUIRE(isOk(json));
        CHECK(boost::json::parse(value(json)).as_array().size() == 1);
    }
    SUBCASE("a ticket is refused if its replicas do not fit into the memory of the engines")
    {
        const TicketFile oversizedFile(R"({"number": 1, "objects": [
            {"name": "engines", "pool": {"engines": true}},
            {"name": "llm", "model": {"pool": "engines", "version": "v1", "weight_bytes": 160,
                                      "min_replicas": 1}}]})");
        CHECK(tickets.submit(oversizedFile.path, true) == ExitFailure);
        CHECK(entry->node->headVersion() == 0);
    }
    SUBCASE("invalid ticket files and outages have their own exit statuses")
    {
        const TicketFile malformedFile("{\"number\": \"x\"");
        CHECK(tickets.submit(malformedFile.path, true) == ExitUsage);
        CHECK(tickets.submit("/nonexistent", true) == ExitUsage);
        boost::json::object fault;
        fault["outage"] = true;
        platform.fault(fault);
        TicketCommands impatientCommands(session, OutputFormat::Json, milliseconds(200));
        CHECK(impatientCommands.submit(validFile.path, true) == ExitUnreachable);
    }
    SUBCASE("upstreams and instances are listed")
    {
        const auto upstreams = formatList(session, ListKind::Upstreams, OutputFormat::Table);
        REQUIRE(isOk(upstreams));
        CHECK(contains(value(upstreams), "gpu"));
        CHECK(contains(value(upstreams), "serving"));
        const auto instances = formatList(session, ListKind::Instances, OutputFormat::Table);
        REQUIRE(isOk(instances));
        CHECK(contains(value(instances), "agent-1"));
    }
    SUBCASE("the time line shows the events of all processes in order and escapes them")
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
