// A store that comes back from an older copy: what was written since is gone, and its revisions are
// given out again. Operators and engines write their part again.
#include "GatewayFixture.h"

using namespace tray;
using namespace tray::test;

namespace {

// Time within which a change must be in force after it was acknowledged.
constexpr Duration MaxApplyTime = std::chrono::seconds(3);

const std::string AddedRoute = R"({"name":"added","host":"a.example","path_prefix":"/added/",
  "kind":"safe","timeout_ms":1500,"max_attempts":2,"service":"shop"},)";

/// The fixture's configuration with another version and, if wanted, one more route.
std::string makeConfig(int version, bool hasAddedRoute)
{
    std::string text = Config;
    text.replace(text.find("\"version\":1"), 11, fmt::format("\"version\":{}", version));
    if (hasAddedRoute)
        text.insert(text.find('[') + 1, AddedRoute);
    return text;
}

StubReply answerFirst(const HttpRequest &request)
{
    return {StubUpstream::sealedAnswer(request, 200, "first")};
}

/// Writes objects that no gateway follows, so that the store's revision rises.
void raiseRevision(StubStore &store, int count)
{
    for (int i = 0; i < count; ++i)
        store.put("others", fmt::format("o{}", i), fmt::format("{}", i));
}

} // namespace

TEST_CASE("A change after a restore is in force in time although its revision was seen before")
{
    GatewayFixture fixture(answerFirst);
    const auto copy = fixture.store.makeCopy();
    REQUIRE(fixture.statusOf("/look/1") == 200);
    // What the system and others write after the copy is lost.
    raiseRevision(fixture.store, 20);
    fixture.store.put("config", "main", makeConfig(2, false));
    // The watch of the list returns meanwhile with a revision that the copy does not have.
    fixture.runFor(milliseconds(2500));
    fixture.store.restore(copy);
    SUBCASE("of the configuration")
    {
        fixture.store.put("config", "main", makeConfig(3, true));
        raiseRevision(fixture.store, 60);
        fixture.runFor(MaxApplyTime);
        CHECK(fixture.statusOf("/added/1") == 200);
    }
    SUBCASE("of the instance list")
    {
        fixture.store.remove("servers", "i-1");
        fixture.store.remove("servers", "i-2");
        raiseRevision(fixture.store, 60);
        fixture.runFor(UpstreamDirectory::RelistGracePeriod + MaxApplyTime);
        fixture.first.received.clear();
        CHECK(fixture.statusOf("/look/1") == 503);
        CHECK(fixture.first.received.empty());
    }
}

TEST_CASE("An upstream that left since the copy gets no requests after the restore")
{
    GatewayFixture fixture(answerFirst);
    fixture.store.era = 0;
    REQUIRE(fixture.statusOf("/look/1") == 200);
    const auto copy = fixture.store.makeCopy();
    SUBCASE("when it had been removed")
    {
        fixture.store.remove("servers", "i-1");
    }
    SUBCASE("when it was draining")
    {
        fixture.store.put(
            "servers", "i-1",
            fmt::format(R"({{"service":"shop","address":"{}","zone":"here","slots":4,)"
                        R"("state":"draining","sequence":1,"models":[]}})",
                        toString(fixture.firstAddress)));
    }
    fixture.runFor(std::chrono::seconds(1));
    fixture.store.restore(copy);
    fixture.first.received.clear();
    for (int i = 0; i < 10; ++i) {
        fixture.runFor(milliseconds(300));
        CHECK(fixture.statusOf("/look/1") == 200);
    }
    CHECK(fixture.first.received.empty());
}

TEST_CASE("A watch that waits over a restore does not hide the changes after it")
{
    GatewayFixture fixture(answerFirst);
    fixture.store.keepsWatches = true;
    const auto copy = fixture.store.makeCopy();
    REQUIRE(fixture.statusOf("/look/1") == 200);
    raiseRevision(fixture.store, 40);
    fixture.store.put("config", "main", makeConfig(2, false));
    fixture.runFor(milliseconds(2500));
    fixture.store.restore(copy);
    fixture.runFor(milliseconds(500));
    fixture.store.put("config", "main", makeConfig(3, true));
    fixture.runFor(MaxApplyTime);
    CHECK(fixture.statusOf("/added/1") == 200);
}

TEST_CASE("A second gateway of the data centre follows the list over a restore")
{
    GatewayFixture fixture(answerFirst);
    const auto copy = fixture.store.makeCopy();
    const auto peer = fixture.startPeer("front-2", "here");
    REQUIRE(fixture.statusOf("/look/1") == 200);
    raiseRevision(fixture.store, 40);
    fixture.addUpstream("i-3", "here", fixture.firstAddress);
    fixture.runFor(std::chrono::seconds(2));
    fixture.store.restore(copy);
    fixture.addUpstream("i-3", "here", fixture.firstAddress);
    fixture.runFor(milliseconds(500));
    fixture.store.remove("servers", "i-1");
    fixture.store.remove("servers", "i-2");
    fixture.store.remove("servers", "i-3");
    fixture.runFor(UpstreamDirectory::RelistGracePeriod + MaxApplyTime);
    CHECK(fixture.statusOf("/look/1") == 503);
}

TEST_CASE("The planner that is elected after a restore has a higher term than the one before")
{
    GatewayFixture fixture(answerFirst);
    const auto copy = fixture.store.makeCopy();
    raiseRevision(fixture.store, 40);
    REQUIRE(fixture.statusOf("/look/1") == 200);
    fixture.runFor(std::chrono::seconds(2));
    const auto before = fixture.metrics.page();
    const auto termOf = [](const std::string &page) {
        const std::string name = "tray_gateway_planner_term ";
        const auto at = page.find("\n" + name);
        REQUIRE(at != std::string::npos);
        return std::stod(page.substr(at + 1 + name.size()));
    };
    const double oldTerm = termOf(before);
    CHECK(oldTerm > 0);
    fixture.store.restore(copy);
    asio::co_spawn(fixture.context, fixture.gateway->stop(), asio::detached);
    fixture.runFor(std::chrono::seconds(4));
    const auto peer = fixture.startPeer("front-2", "here");
    REQUIRE(fixture.statusOf("/look/1") == 200);
    fixture.runFor(std::chrono::seconds(2));
    CHECK(termOf(fixture.peerMetrics.page()) > oldTerm);
}

TEST_CASE("A gateway registers again after a restore that lost its record")
{
    GatewayFixture fixture(answerFirst);
    const auto copy = fixture.store.makeCopy();
    REQUIRE(fixture.statusOf("/look/1") == 200);
    fixture.runFor(milliseconds(300));
    REQUIRE_FALSE(fixture.store.specOf("gateways", "front-1").empty());
    fixture.store.restore(copy);
    fixture.runFor(std::chrono::seconds(3));
    CHECK_FALSE(fixture.store.specOf("gateways", "front-1").empty());
}
