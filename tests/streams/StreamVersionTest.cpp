// Streams of upstreams with several software versions: a stream is continued only at the version
// that began it, within one response and when its caller takes it up again.
#include "VersionedUpstream.h"

using namespace tray;
using namespace tray::test;

TEST_CASE("A stream that breaks off is never continued by another software version")
{
    SUBCASE("within the response, it goes on at an upstream of the same version")
    {
        VersionFixture fixture("v1", "v1");
        fixture.first.breaks = 1;
        const auto answer = fixture.gateway.send("/retell/1");
        CHECK(statusOf(answer) == 200);
        CHECK(bodyOf(answer) == wholeStream("v1"));
        CHECK(fixture.gateway.second.received.size() == 1);
    }
    SUBCASE("and ends broken if there is none")
    {
        VersionFixture fixture("v1", "v2");
        fixture.first.breaks = 1;
        const auto answer = fixture.gateway.send("/retell/1");
        CHECK_FALSE(isOk(answer));
        CHECK(fixture.gateway.second.received.empty());
    }
    SUBCASE("before its first event, any version may begin it")
    {
        VersionFixture fixture("v1", "v2");
        fixture.first.breaks = 1;
        fixture.first.breaksBeforeEvents = true;
        const auto answer = fixture.gateway.send("/retell/1");
        CHECK(statusOf(answer) == 200);
        CHECK(bodyOf(answer) == wholeStream("v2"));
    }
}

TEST_CASE("A caller that takes a stream up again gets only events of the version that began it")
{
    VersionFixture fixture("v1", "v2");
    fixture.first.breaks = 1;
    // No upstream of the version is left that was not tried, so the answer breaks.
    REQUIRE_FALSE(isOk(fixture.gateway.send("/retell/1")));

    SUBCASE("from the version itself, although another one could take it, too")
    {
        const auto answer = fixture.takeUp("r2", "r1", 2);
        CHECK(statusOf(answer) == 200);
        CHECK(bodyOf(answer) == wholeStream("v1", 3));
    }
    SUBCASE("also by a later attempt that names the first one")
    {
        fixture.first.breaks = 1;
        REQUIRE_FALSE(isOk(fixture.takeUp("r2", "r1", 1)));
        const auto answer = fixture.takeUp("r3", "r1", 3);
        CHECK(statusOf(answer) == 200);
        CHECK(bodyOf(answer) == wholeStream("v1", 4));
    }
    SUBCASE("and is told at once that it may begin anew if the version has left")
    {
        fixture.gateway.store.remove("servers", "i-1");
        fixture.gateway.runFor(milliseconds(900));
        const Instant began = clockNow();
        const auto answer = fixture.takeUp("r2", "r1", 2);
        CHECK(statusOf(answer) == 503);
        CHECK(clockNow() - began < milliseconds(500));
        CHECK(fixture.gateway.second.received.empty());
        const auto anew = fixture.gateway.send("/retell/1");
        CHECK(bodyOf(anew) == wholeStream("v2"));
    }
    SUBCASE("and likewise if the version that began it is not known")
    {
        const auto answer = fixture.takeUp("r2", "r9", 2);
        CHECK(statusOf(answer) == 503);
        CHECK(fixture.gateway.second.received.empty());
    }
    SUBCASE("or if it does not say which attempt began the stream")
    {
        const auto answer = fixture.takeUp("r2", "", 2);
        CHECK(statusOf(answer) == 503);
        CHECK(fixture.gateway.second.received.empty());
    }
}

TEST_CASE("An upstream that restarts under its id with another version adds no event to a stream")
{
    VersionFixture fixture("v1", "v1");
    fixture.first.breaks = 1;
    const auto restart = [&](VersionedUpstream &upstream, const std::string &id,
                             const Address &address) {
        upstream.version = "v2";
        fixture.gateway.store.put(
            "servers", id,
            fmt::format(R"({{"service":"shop","address":"{}","zone":"here","slots":4,)"
                        R"("state":"ready","sequence":1,"models":[],"version":"v2","born":9}})",
                        toString(address)));
    };

    SUBCASE("if the news comes while its answer is awaited")
    {
        // The first upstream breaks off; the second one has restarted and answers late.
        fixture.second.version = "v2";
        fixture.second.delay = milliseconds(900);
        fixture.gateway.runAfter(milliseconds(250), [&] {
            restart(fixture.second, "i-2", fixture.gateway.secondAddress);
        });
        const auto answer = fixture.gateway.send("/retell/1");
        CHECK_FALSE(isOk(answer));
        CHECK(fixture.gateway.second.received.size() == 1);
    }
    SUBCASE("if the news comes after the stream broke off and before it is taken up")
    {
        fixture.second.breaks = 1;
        fixture.second.breaksBeforeEvents = true;
        REQUIRE_FALSE(isOk(fixture.gateway.send("/retell/1")));
        restart(fixture.first, "i-1", fixture.gateway.firstAddress);
        restart(fixture.second, "i-2", fixture.gateway.secondAddress);
        fixture.gateway.runFor(milliseconds(900));
        const auto answer = fixture.takeUp("r2", "r1", 2);
        CHECK(statusOf(answer) == 503);
    }
}
