// What gateways follow: the instance list, also from other gateways, and the configuration.
#include "GatewayFixture.h"

#include <thread>

using namespace tray;
using namespace tray::test;

namespace {

/// Far above every revision that the store can reach.
constexpr uint64_t WrongRevision = uint64_t{1} << 62;

std::string bodyOf(GatewayFixture &fixture)
{
    const auto answer = fixture.send("/look/1");
    return isOk(answer) ? value(answer).body : error(answer).message;
}

} // namespace

TEST_CASE("A notification with a revision that the store does not have makes a gateway ignore list "
          "updates only until its next read of the store")
{
    GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
        return {StubUpstream::sealedAnswer(request, 200, "first")};
    });
    REQUIRE(bodyOf(fixture) == "first");
    proto::Datagram datagram;
    auto *listUpdate = datagram.mutable_list_word();
    listUpdate->set_revision(WrongRevision);
    listUpdate->set_parts(1);

    SUBCASE("received by a gateway that follows the reader")
    {
        listUpdate->set_rank(0);
    }
    SUBCASE("received by the reader itself")
    {
        fixture.runFor(ListRelay::ReaderTimeout + ListRelay::TakeoverJitter + milliseconds(200));
        listUpdate->set_rank(~uint64_t{0});
    }
    SUBCASE("as one part of a notification")
    {
        listUpdate->set_parts(2);
    }
    fixture.steward.send(fixture.datagrams, datagram);
    fixture.runFor(milliseconds(200));

    fixture.store.remove("servers", "i-1");
    const int before = fixture.store.requestCount;
    fixture.runFor(std::chrono::seconds(5));
    CHECK(bodyOf(fixture) == "second");
    CHECK(fixture.store.requestCount - before < 40);
}

TEST_CASE("A configuration that is older than the store's history is read once and then watched")
{
    GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
        return {StubUpstream::sealedAnswer(request, 200, "first")};
    });
    REQUIRE(fixture.statusOf("/look/1") == 200);
    fixture.addUpstream("i-3", "there", fixture.firstAddress);
    fixture.store.compactHistory();
    fixture.runFor(milliseconds(500));
    const int before = fixture.store.requestsByKind["config"];
    fixture.runFor(std::chrono::seconds(2));
    CHECK(fixture.store.requestsByKind["config"] <= before + 1);
}

TEST_CASE("A configuration is in force within seconds although the answer to its watch is lost")
{
    GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
        return {StubUpstream::sealedAnswer(request, 200, "first")};
    });
    REQUIRE(fixture.statusOf("/look/1") == 200);
    // The gateway has become the reader of the instance list.
    fixture.runFor(ListRelay::ReaderTimeout + ListRelay::TakeoverJitter + milliseconds(600));
    // A change right after the last one meets a watch that has just begun.
    std::string config = Config;
    const auto change = [&](const std::string &from, const std::string &to) {
        config.replace(config.find(from), from.size(), to);
        fixture.store.put("config", "main", config);
    };
    change(R"("version":1)", R"("version":2)");
    fixture.runFor(milliseconds(700));
    REQUIRE(fixture.statusOf("/new/1") == 404);
    fixture.store.lostWatchAnswers["config"] = 1;
    change(R"("version":2)", R"("version":3)");
    change(R"("/look/")", R"("/new/")");
    const Instant changedAt = clockNow();
    fixture.runFor(std::chrono::seconds(4));
    CHECK(fixture.statusOf("/new/1") == 200);
    CHECK(clockNow() - changedAt < std::chrono::seconds(5));
}

TEST_CASE("A configuration whose watch hangs is in force within seconds while a series of newer "
          "versions follows")
{
    GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
        return {StubUpstream::sealedAnswer(request, 200, "first")};
    });
    REQUIRE(fixture.statusOf("/look/1") == 200);
    std::string config = Config;
    int version = 1;
    const auto change = [&](const std::string &from, const std::string &to) {
        config.replace(config.find(from), from.size(), to);
    };
    // Another gateway reads the instance list and reports its version of the configuration.
    const auto publishNext = [&] {
        change(fmt::format(R"("version":{})", version),
               fmt::format(R"("version":{})", version + 1));
        ++version;
        fixture.store.put("config", "main", config);
        proto::Datagram datagram;
        auto *listUpdate = datagram.mutable_list_word();
        listUpdate->set_rank(0);
        listUpdate->set_revision(fixture.store.currentRevision());
        listUpdate->set_config_version(static_cast<uint64_t>(version));
        fixture.steward.send(fixture.datagrams, datagram);
        fixture.runFor(milliseconds(330));
    };
    publishNext();
    fixture.runFor(milliseconds(700));
    fixture.store.lostWatchAnswers["config"] = 1;
    change("/look/", "/new/");
    for (int i = 0; i < 8; ++i)
        publishNext();
    REQUIRE(fixture.store.lostWatchAnswers["config"] == 0);
    CHECK(fixture.statusOf("/new/1") == 200);
}

TEST_CASE("A watch that is cut off once does not prolong the use of an upstream that is removed")
{
    GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
        return {StubUpstream::sealedAnswer(request, 200, "first")};
    });
    REQUIRE(bodyOf(fixture) == "first");
    fixture.runFor(std::chrono::seconds(2));
    fixture.store.cutWatches("servers");
    fixture.runFor(milliseconds(600));
    fixture.store.remove("servers", "i-1");
    fixture.runFor(milliseconds(1000));
    CHECK(bodyOf(fixture) == "second");
}

TEST_CASE("A watch that hangs once does not prolong the use of an upstream that is removed later")
{
    GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
        return {StubUpstream::sealedAnswer(request, 200, "first")};
    });
    REQUIRE(bodyOf(fixture) == "first");
    // The gateway has become the reader of the instance list.
    fixture.runFor(ListRelay::ReaderTimeout + ListRelay::TakeoverJitter + milliseconds(600));
    // No other call is answered while the watch hangs.
    fixture.store.lostWatchAnswers["servers"] = 1;
    fixture.store.lostWatchAnswers["config"] = 1;
    fixture.runFor(ListRelay::MaxReadWait + StoreClient::CallTimeout + milliseconds(300));
    REQUIRE(fixture.store.lostWatchAnswers["servers"] == 0);
    fixture.store.remove("servers", "i-1");
    fixture.runFor(milliseconds(800));
    CHECK(bodyOf(fixture) == "second");
}

// Guards against requests to upstreams that have left while the gateway stood still.
TEST_CASE("A gateway that stood still sends requests on only after it has read the list")
{
    GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
        return {StubUpstream::sealedAnswer(request, 200, "first")};
    });
    REQUIRE(bodyOf(fixture) == "first");
    // The gateway has become the reader of the instance list.
    fixture.runFor(ListRelay::ReaderTimeout + ListRelay::TakeoverJitter + milliseconds(600));
    const auto standStill = [&] {
        std::this_thread::sleep_for(ListRelay::MaxReadWait + StoreClient::CallTimeout +
                                    milliseconds(300));
    };
    SUBCASE("if the store answers it")
    {
        fixture.store.lostWatchAnswers["servers"] = 1;
        fixture.store.remove("servers", "i-1");
        standStill();
        CHECK(bodyOf(fixture) == "second");
    }
    SUBCASE("or soon if it does not")
    {
        fixture.store.neverRespond = true;
        standStill();
        const Instant began = clockNow();
        CHECK(bodyOf(fixture) == "first");
        CHECK(clockNow() - began < ListAge::MaxWait + milliseconds(500));
    }
}
