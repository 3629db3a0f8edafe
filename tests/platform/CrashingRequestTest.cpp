// Requests that crash every upstream that runs them, repeated by their caller at one or several
// gateways.
#include "GatewayFixture.h"

using namespace tray;
using namespace tray::test;

namespace {

constexpr auto CrashingBody = "crashes";
// Bound of the platform's BUDGET rule: runs of a request until its third crash, and retries after
// the gateways have had time to learn of that crash.
constexpr size_t MaxCrashes = 3;
constexpr size_t MaxRetriesAfterwards = 3;

/// Crashes on the crashing body, and answers all other requests.
StubReply crashOnBody(const HttpRequest &request)
{
    StubReply reply;
    if (request.body == CrashingBody)
        reply.crashFor = milliseconds(400);
    else
        reply.bytes = StubUpstream::sealedAnswer(request, 200, "fine");
    return reply;
}

/// Four upstreams, so that two of them are running whenever a request has crashed two others.
struct CrashFixture : GatewayFixture
{
    explicit CrashFixture(const StubUpstream::Behaviour &behaviour = crashOnBody)
        : GatewayFixture(behaviour, behaviour), third(this->context, behaviour),
          fourth(this->context, behaviour)
    {
        this->addUpstream("i-3", "here", this->third.listen());
        this->addUpstream("i-4", "there", this->fourth.listen());
    }

    /// Number of times that upstreams received a request with this body.
    size_t countReceived(const std::string &body) const
    {
        size_t count = 0;
        for (const auto *upstream : {&this->first, &this->second, &this->third, &this->fourth}) {
            count += static_cast<size_t>(
                std::count_if(upstream->received.begin(), upstream->received.end(),
                              [&](const HttpRequest &request) { return request.body == body; }));
        }
        return count;
    }

    /// Sends the request as a caller does that repeats it after each failure.
    void repeat(const std::string &target, int times)
    {
        for (int i = 0; i < times; ++i) {
            this->statusOf(target, CrashingBody);
            this->runFor(milliseconds(500));
        }
    }

    StubUpstream third;
    StubUpstream fourth;
};

} // namespace

TEST_CASE("A request under which three upstreams have crashed is not sent to further ones")
{
    CrashFixture fixture;
    SUBCASE("that may be repeated")
    {
        fixture.repeat("/look/1", 8);
    }
    SUBCASE("that must not be repeated")
    {
        fixture.repeat("/take/1", 8);
    }
    CHECK(fixture.countReceived(CrashingBody) <= MaxCrashes + MaxRetriesAfterwards);
}

TEST_CASE("A request that has crashed upstreams is recognised by gateways that saw none of it")
{
    CrashFixture fixture;
    fixture.repeat("/take/1", 4);
    const size_t before = fixture.countReceived(CrashingBody);
    const auto peer = fixture.startPeer("front-2", "there");
    fixture.runFor(std::chrono::seconds(4));
    fixture.repeat("/take/1", 4);
    CHECK(fixture.countReceived(CrashingBody) - before <= MaxRetriesAfterwards);
}

TEST_CASE("A request whose connections are reset by running upstreams is not refused")
{
    const auto reset = [](const HttpRequest &) {
        StubReply reply;
        reply.reset = true;
        return reply;
    };
    GatewayFixture fixture(reset, reset);
    for (int i = 0; i < 6; ++i)
        CHECK(fixture.statusOf("/take/1", "order") == 502);
    CHECK(fixture.first.received.size() + fixture.second.received.size() == 6);
}

TEST_CASE(
    "An upstream whose time ran out before it answered clears no request that crashes upstreams")
{
    bool isOverdue = false;
    const auto behave = [&](const HttpRequest &request) {
        StubReply reply = crashOnBody(request);
        if (!isOverdue)
            return reply;
        reply.crashFor.reset();
        reply.bytes = StubUpstream::sealedAnswer(request, 504, "too late");
        return reply;
    };
    CrashFixture fixture(behave);
    const auto sendOnce = [&] {
        const int status = fixture.statusOf("/take/1", CrashingBody);
        fixture.runFor(milliseconds(600));
        return status;
    };
    for (int i = 0; i < 2; ++i)
        CHECK(sendOnce() == 502);
    isOverdue = true;
    CHECK(sendOnce() == 504);
    isOverdue = false;
    CHECK(sendOnce() == 502);
    CHECK(sendOnce() == 503);
    CHECK(fixture.countReceived(CrashingBody) == 4);
}

TEST_CASE("A caller learns at once that a request is refused as a suspect, and others are served")
{
    CrashFixture fixture;
    fixture.repeat("/take/1", 4);
    const auto answer = fixture.send("/take/1", {}, CrashingBody, milliseconds(300));
    REQUIRE(isOk(answer));
    CHECK(value(answer).status == 503);
    CHECK(std::stod(std::string(findHeader(value(answer).headers, "Retry-After"))) > 60);
    CHECK(fixture.statusOf("/take/1", "order") == 200);
    CHECK(fixture.statusOf("/take/2", "other order") == 200);
}
