// Upstreams that send the copy of a refusal late, where the answer to a later request is due.
// Guards against a request that runs and counts as refused, which its caller is told or which then
// runs elsewhere, too.
#include "GatewayFixture.h"

#include <utility>

using namespace tray;
using namespace tray::test;

namespace {

/// An upstream that counts the requests that it runs.
struct Executor
{
    int runs = 0;

    StubReply run(const HttpRequest &request)
    {
        ++this->runs;
        StubReply reply{request.target.starts_with("/tell/")
                            ? StubUpstream::sealedStreamHead(request) +
                                  StubUpstream::encodeChunk("id: 1\ndata: x\n\n") + "0\r\n\r\n"
                            : StubUpstream::sealedAnswer(request, 200, "done")};
        reply.delay = milliseconds(60);
        return reply;
    }
};

/// Refuses a request, and sends a copy of the refusal when the next request is due an answer.
StubReply refuseTwice(const HttpRequest &request, int status)
{
    StubReply reply{
        StubUpstream::sealedAnswer(request, status, "full", "Marjoramtray-Not-Executed: 1")};
    reply.lateBytes = reply.bytes;
    return reply;
}

/// As refuseTwice(), with the copy on whichever connection the next request arrives.
StubReply refuseTwiceAnywhere(const HttpRequest &request, int status)
{
    StubReply reply = refuseTwice(request, status);
    reply.isLateAnywhere = true;
    return reply;
}

bool statesNotExecuted(const Result<HttpResponse> &answer)
{
    return isOk(answer) && HeaderCodec().statesNotExecuted(value(answer).status);
}

/// Checks what the caller of a request was told against what the upstreams ran.
void checkRunsOnce(const Result<HttpResponse> &answer, const Executor &first,
                   const Executor &second)
{
    const int runs = first.runs + second.runs;
    CHECK(runs == 1);
    CHECK_FALSE((statesNotExecuted(answer) && runs > 0));
    REQUIRE(isOk(answer));
    CHECK(value(answer).status == 200);
}

} // namespace

TEST_CASE("The copy of a refusal does not end a request that its caller sends again by the same id")
{
    Executor first;
    Executor second;
    bool areFull = true;
    bool isSecondThere = true;
    const auto reply = [&](Executor &executor, const HttpRequest &request) {
        return areFull ? refuseTwice(request, 503) : executor.run(request);
    };
    SUBCASE("and it does not run at a second upstream") {}
    SUBCASE("and its caller is not told that it has not run")
    {
        isSecondThere = false;
    }
    GatewayFixture fixture([&](const HttpRequest &request) { return reply(first, request); },
                           [&](const HttpRequest &request) { return reply(second, request); });
    if (!isSecondThere)
        fixture.store.remove("servers", "i-2");
    for (const auto *target : {"/take/1", "/tell/1"}) {
        INFO(target);
        first.runs = second.runs = 0;
        areFull = true;
        fixture.requestId = target;
        CHECK(statesNotExecuted(fixture.send(target, {}, "x")));
        CHECK(first.runs + second.runs == 0);
        areFull = false;
        checkRunsOnce(fixture.send(target, {}, "x"), first, second);
    }
}

TEST_CASE(
    "The copy of a refusal does not end a request at a restarted upstream of the same address")
{
    Executor first;
    Executor second;
    bool isSecondThere = true;
    SUBCASE("and it does not run at a second upstream") {}
    SUBCASE("and its caller is not told that it has not run")
    {
        isSecondThere = false;
    }
    std::optional<GatewayFixture> fixture;
    // The upstream has started again under another id, which the list names before it answers.
    const auto restart = [&](const HttpRequest &request) -> StubReply {
        if (findHeader(request.headers, "Marjoramtray-Expect-Instance") != "i-1")
            return first.run(request);
        fixture->store.remove("servers", "i-1");
        fixture->addUpstream("i-3", "here", fixture->firstAddress);
        StubReply reply = refuseTwice(request, 421);
        reply.delay = milliseconds(800);
        return reply;
    };
    fixture.emplace(restart, [&](const HttpRequest &request) { return second.run(request); });
    if (!isSecondThere)
        fixture->store.remove("servers", "i-2");
    checkRunsOnce(fixture->send("/take/1", {}, "x"), first, second);
}

TEST_CASE("The copy of a refusal on another connection is no promise")
{
    Executor first;
    Executor second;
    bool isNextRefused = false;
    StubUpstream::Behaviour behaviour = [&](const HttpRequest &request) {
        return std::exchange(isNextRefused, false) ? refuseTwiceAnywhere(request, 503)
                                                   : first.run(request);
    };
    GatewayFixture fixture([&](const HttpRequest &request) { return behaviour(request); },
                           [&](const HttpRequest &request) { return second.run(request); });
    const auto checkNoPromise = [&](const std::string &target) {
        first.runs = 0;
        const auto answer = fixture.send(target, {}, "x");
        CHECK(first.runs == 1);
        CHECK(second.runs == 0);
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 502);
    };
    const auto checkRepeatAfterRefusal = [&](const std::string &target) {
        fixture.requestId = "r2";
        isNextRefused = true;
        CHECK(statesNotExecuted(fixture.send(target, {}, "x")));
        checkNoPromise(target);
    };
    SUBCASE("that is new")
    {
        fixture.store.remove("servers", "i-2");
        checkRepeatAfterRefusal("/tell/1");
    }
    SUBCASE("that has carried other requests")
    {
        fixture.store.remove("servers", "i-2");
        for (int repeat = 0; repeat < 2; ++repeat)
            CHECK(fixture.statusOf("/look/1") == 200);
        checkRepeatAfterRefusal("/take/1");
    }
    SUBCASE("of an upstream that was started again under another id")
    {
        behaviour = [&](const HttpRequest &request) -> StubReply {
            if (findHeader(request.headers, "Marjoramtray-Expect-Instance") != "i-1")
                return first.run(request);
            fixture.store.remove("servers", "i-1");
            fixture.addUpstream("i-3", "here", fixture.firstAddress);
            StubReply reply = refuseTwiceAnywhere(request, 421);
            reply.delay = milliseconds(800);
            return reply;
        };
        SUBCASE("and the request does not run at a second upstream") {}
        SUBCASE("and its caller is not told that it has not run")
        {
            fixture.store.remove("servers", "i-2");
        }
        checkNoPromise("/take/1");
    }
}
