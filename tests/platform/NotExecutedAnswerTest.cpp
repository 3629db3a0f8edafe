// Answers that tell a caller that its request was not executed: only with evidence, for requests
// that must not be executed twice.
#include "GatewayFixture.h"

using namespace tray;
using namespace tray::test;

namespace {

/// An answer of an upstream that states no execution, with further header lines.
std::string makeAnswer(const std::string &status, const std::string &headerLines)
{
    return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: 4\r\n\r\nbusy", status, headerLines);
}

bool statesNotExecuted(int status)
{
    return HeaderCodec().statesNotExecuted(status);
}

} // namespace

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

TEST_CASE("Only a refusal of the request itself shows that it was not executed")
{
    constexpr auto OwnId = "Marjoramtray-Request-Id: r1\r\n";
    constexpr auto Refused = "Marjoramtray-Not-Executed: 1\r\n";
    std::string refusal;
    SUBCASE("not an answer of success")
    {
        refusal = makeAnswer("200", std::string(OwnId) + Refused);
    }
    SUBCASE("not an upstream's own failure")
    {
        refusal = makeAnswer("500", std::string(OwnId) + Refused);
    }
    SUBCASE("not the end of a request at its deadline")
    {
        refusal = makeAnswer("504", std::string(OwnId) + Refused);
    }
    SUBCASE("not a refusal that names no request")
    {
        refusal = makeAnswer("503", Refused);
    }
    SUBCASE("not a wrong address that names no request")
    {
        refusal = makeAnswer("421", "");
    }
    const auto refuse = [&](const HttpRequest &) -> StubReply { return {refusal}; };
    GatewayFixture fixture(refuse, refuse);
    for (const auto *target : {"/take/1", "/tell/1"}) {
        fixture.first.received.clear();
        fixture.second.received.clear();
        const auto answer = fixture.send(target, {}, "x");
        const int status = isOk(answer) ? value(answer).status : 0;
        INFO(target);
        CHECK(status / 100 != 2);
        CHECK_FALSE(statesNotExecuted(status));
        CHECK(fixture.first.received.size() + fixture.second.received.size() == 1);
    }
}

TEST_CASE("A refusal of the request itself sends it to another upstream")
{
    std::string status;
    for (const auto *each : {"503", "429", "400", "421"}) {
        status = each;
        GatewayFixture fixture([&](const HttpRequest &) -> StubReply {
            return {makeAnswer(status, "Marjoramtray-Request-Id: r1\r\n"
                                       "Marjoramtray-Not-Executed: 1\r\n")};
        });
        const auto answer = fixture.send("/take/1", {}, "x");
        REQUIRE(isOk(answer));
        INFO(status);
        CHECK(value(answer).body == "second");
    }
}

TEST_CASE("An interim answer is not taken for the answer")
{
    GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
        return {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                StubUpstream::sealedAnswer(request, 200, "whole")};
    });
    for (const auto *target : {"/take/1", "/look/1"}) {
        const auto answer = fixture.send(target);
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 200);
        CHECK(value(answer).body == "whole");
    }
}
