// Tests the clients of the object API and of the instance list against the fake platform:
// conditional writes, watches, the error kinds of failed calls, and the lag of the list.
#include "edge/HttpObjectApi.h"
#include "FakePlatform.h"
#include "edge/HttpInstanceSource.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace tray;
namespace asio = boost::asio;

namespace {

proto::FakePlatformSection settingsOf(uint32_t lagMs)
{
    proto::FakePlatformSection settings;
    settings.set_list_lag_ms(lagMs);
    settings.set_leaving_ms(100);
    return settings;
}

struct Fixture
{
    explicit Fixture(uint32_t lagMs = 0) : platform(context, settingsOf(lagMs)) {}

    asio::io_context context;
    FakePlatform platform;
    Address address = value(platform.listen({"127.0.0.1", 0}));
    Metrics metrics;
    HttpClient http{context};
    HttpObjectApi api{http, address, milliseconds(200), metrics};
    HttpInstanceSource source{http, address, milliseconds(200), metrics};

    template <typename T>
    Result<T> run(asio::awaitable<Result<T>> task)
    {
        Result<T> outcome = Error{ErrorKind::Internal, "did not end"};
        asio::co_spawn(this->context, std::move(task),
                       [&](const std::exception_ptr &, Result<T> result) {
                           outcome = std::move(result);
                           this->context.stop();
                       });
        this->context.restart();
        this->context.run_for(std::chrono::seconds(10));
        return outcome;
    }

    template <typename T>
    ErrorKind kindOf(asio::awaitable<Result<T>> task)
    {
        const auto result = this->run(std::move(task));
        return isOk(result) ? ErrorKind::None : error(result).kind;
    }

    void fault(const char *name, const boost::json::value &setting)
    {
        boost::json::object fields;
        fields[name] = setting;
        REQUIRE(isOk(this->platform.setFault(fields)));
    }
};

} // namespace

TEST_CASE("The object API enforces conditions")
{
    Fixture fixture;
    auto &api = fixture.api;
    const auto first = fixture.run(api.write("a/x", "one", 0));
    REQUIRE(isOk(first));
    SUBCASE("reads return value and version, and report an absent key")
    {
        const auto read = fixture.run(api.read("a/x"));
        REQUIRE(isOk(read));
        CHECK(value(read).value == "one");
        CHECK(value(read).version == value(first));
        CHECK(fixture.kindOf(api.read("a/y")) == ErrorKind::NotFound);
    }
    SUBCASE("a write with an old version or over an existing object is refused")
    {
        CHECK(fixture.kindOf(api.write("a/x", "two", 0)) == ErrorKind::VersionConflict);
        REQUIRE(isOk(fixture.run(api.write("a/x", "two", value(first)))));
        CHECK(fixture.kindOf(api.write("a/x", "three", value(first))) ==
              ErrorKind::VersionConflict);
        CHECK(fixture.kindOf(api.remove("a/x", value(first))) == ErrorKind::VersionConflict);
    }
    SUBCASE("a value above 1 MB is refused")
    {
        CHECK(fixture.kindOf(api.write("a/big", std::string(1100000, 'x'), 0)) ==
              ErrorKind::BodyTooLarge);
    }
    SUBCASE("a watch returns the changes under its prefix, deletions included")
    {
        const auto listed = fixture.run(api.list("a/"));
        REQUIRE(isOk(listed));
        REQUIRE(value(listed).changes.size() == 1);
        REQUIRE(isOk(fixture.run(api.write("b/x", "other", 0))));
        REQUIRE(isOk(fixture.run(api.remove("a/x", value(first)))));
        const auto seen =
            fixture.run(api.watch("a/", value(listed).revision, std::chrono::seconds(1)));
        REQUIRE(isOk(seen));
        REQUIRE(value(seen).changes.size() == 1);
        CHECK(value(seen).changes[0].deleted);
    }
    SUBCASE("a watch without changes ends at its timeout, and one from an old revision is stale")
    {
        CHECK(isOk(fixture.run(api.watch("a/", value(first), milliseconds(50)))));
        REQUIRE(isOk(fixture.run(api.write("a/z", "z", 0))));
        fixture.fault("compact", true);
        CHECK(fixture.kindOf(api.watch("a/", value(first), milliseconds(50))) == ErrorKind::Stale);
    }
}

TEST_CASE("Keys and instance ids of any characters reach the platform as they are")
{
    Fixture fixture;
    for (const std::string name :
         {"a%zz", "a+b", "a b", "a?b=c&d", "a#b", "\xc3\xbc", "v\r\nX-A: 1"}) {
        CAPTURE(name);
        const auto written = fixture.run(fixture.api.write("odd/" + name, "one", 0));
        REQUIRE(isOk(written));
        const auto read = fixture.run(fixture.api.read("odd/" + name));
        REQUIRE(isOk(read));
        CHECK(value(read).value == "one");
        const auto listed = fixture.run(fixture.api.list("odd/" + name));
        REQUIRE(isOk(listed));
        REQUIRE(value(listed).changes.size() == 1);
        CHECK(value(listed).changes[0].key == "odd/" + name);

        proto::InstanceEntry entry;
        entry.set_id(name);
        entry.set_role("agent");
        entry.set_control_address("127.0.0.1:5");
        REQUIRE(isOk(fixture.run(fixture.source.add(entry))));
        fixture.context.restart();
        fixture.context.run_for(milliseconds(20));
        const auto instances = fixture.run(fixture.source.read());
        REQUIRE(isOk(instances));
        REQUIRE(value(instances).instances().size() == 1);
        CHECK(value(instances).instances()[0].id() == name);
        REQUIRE(isOk(fixture.run(fixture.source.remove(name))));
        fixture.context.restart();
        // Removed instances stay listed as leaving for a while.
        fixture.context.run_for(milliseconds(150));
        const auto left = fixture.run(fixture.source.read());
        REQUIRE(isOk(left));
        CHECK(value(left).instances().empty());
    }
}

TEST_CASE("Errors show whether a write may have had an effect")
{
    Fixture fixture;
    auto &api = fixture.api;
    SUBCASE("a write during an outage had no effect")
    {
        fixture.fault("outage", true);
        CHECK(fixture.kindOf(api.write("a", "1", 0)) == ErrorKind::PlatformUnavailable);
        CHECK(fixture.kindOf(api.read("a")) == ErrorKind::PlatformUnavailable);
    }
    SUBCASE("after a lost answer the outcome is unknown, and the write took effect")
    {
        fixture.fault("lost_answers", 1);
        CHECK(fixture.kindOf(api.write("a", "1", 0)) == ErrorKind::OutcomeUnknown);
        CHECK(isOk(fixture.run(api.read("a"))));
    }
    SUBCASE("after a timeout the outcome of a write is unknown, and a read is unavailable")
    {
        fixture.fault("silent", true);
        CHECK(fixture.kindOf(api.write("a", "1", 0)) == ErrorKind::OutcomeUnknown);
        CHECK(fixture.kindOf(api.read("a")) == ErrorKind::PlatformUnavailable);
    }
    SUBCASE("a call over the rate limit is reported as overload and not as an outage")
    {
        fixture.fault("writes_per_second", 1);
        CHECK(isOk(fixture.run(api.write("a", "1", 0))));
        CHECK(fixture.kindOf(api.write("b", "1", 0)) == ErrorKind::Overloaded);
    }
}

TEST_CASE("The instance list lags behind registrations")
{
    Fixture fixture(300);
    proto::InstanceEntry entry;
    entry.set_id("i1");
    entry.set_role("agent");
    entry.set_data_centre("dc");
    entry.set_region("r");
    entry.set_control_address("127.0.0.1:5");
    entry.set_upstream("gpu");
    REQUIRE(isOk(fixture.run(fixture.source.add(entry))));
    const auto early = fixture.run(fixture.source.read());
    REQUIRE(isOk(early));
    CHECK(value(early).instances().empty());
    fixture.context.restart();
    fixture.context.run_for(milliseconds(350));
    const auto late = fixture.run(fixture.source.read());
    REQUIRE(isOk(late));
    REQUIRE(value(late).instances_size() == 1);
    CHECK(value(late).instances(0).SerializeAsString() == entry.SerializeAsString());
    CHECK(value(late).revision() > value(early).revision());
    REQUIRE(isOk(fixture.run(fixture.source.remove("i1"))));
    REQUIRE(isOk(fixture.run(fixture.source.remove("unknown"))));
}
