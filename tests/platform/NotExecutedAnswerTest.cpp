// Answers that tell a caller that its request was not executed: only with evidence, for requests
// that must not be executed twice.
#include "GatewayFixture.h"

using namespace tray;
using namespace tray::test;

TEST_CASE("An upstream's status is no promise to the caller of a request that may have run")
{
    std::string status;
    SUBCASE("503 after the work has begun")
    {
        status = "503";
    }
    SUBCASE("429")
    {
        status = "429";
    }
    SUBCASE("408")
    {
        status = "408";
    }
    const auto fail = [&](const HttpRequest &request) -> StubReply {
        return {StubUpstream::sealedAnswer(request, std::stoi(status), "failed")};
    };
    GatewayFixture fixture(fail, fail);
    for (const auto *target : {"/take/1", "/tell/1"}) {
        fixture.first.received.clear();
        fixture.second.received.clear();
        const auto answer = fixture.send(target, {}, "x");
        REQUIRE(isOk(answer));
        INFO(target);
        CHECK(value(answer).status == 502);
        // Another status than the upstream's must not bear its seal.
        CHECK(findHeader(value(answer).headers, "Marjoramtray-Response-Seal").empty());
        CHECK(findHeader(value(answer).headers, "Retry-After").empty());
        CHECK(fixture.first.received.size() + fixture.second.received.size() == 1);
    }
}

TEST_CASE("An upstream's status is passed on unchanged where repeating does no harm")
{
    const auto fail = [](const HttpRequest &request) -> StubReply {
        return {StubUpstream::sealedAnswer(request, 503, "maintenance")};
    };
    GatewayFixture fixture(fail, fail);
    const auto answer = fixture.send("/look/1");
    REQUIRE(isOk(answer));
    CHECK(value(answer).status == 503);
    CHECK(value(answer).body == "maintenance");
    CHECK_FALSE(findHeader(value(answer).headers, "Marjoramtray-Response-Seal").empty());
}
