// Answers of upstreams that break off: inside an event, inside the head, or in a stream that
// another upstream is to continue.
#include "GatewayFixture.h"

#include <algorithm>

using namespace tray;
using namespace tray::test;

namespace {

constexpr auto FirstEvent = "id: 1\ndata: a\n\n";
constexpr auto SecondEvent = "id: 2\ndata: b\n\n";
constexpr auto HalfEvent = "id: 2\nda";
constexpr auto ErrorText = "engine fault";

StubReply replyWith(std::string bytes, bool isReset = false)
{
    StubReply reply;
    reply.bytes = std::move(bytes);
    reply.close = !isReset;
    reply.reset = isReset;
    return reply;
}

/// Bytes that the caller of a stream gets.
std::string callRaw(GatewayFixture &fixture, const std::string &target)
{
    return fixture.sendRaw(fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n"
                                       "Marjoramtray-Request-Id: r1\r\nConnection: close\r\n\r\n",
                                       target));
}

bool isMarkedComplete(const std::string &answer)
{
    return answer.ends_with("0\r\n\r\n");
}

size_t countText(const std::string &text, const std::string &part)
{
    size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("An answer that ends with its connection is passed on complete")
{
    SUBCASE("as a stream")
    {
        GatewayFixture fixture([](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedUnframedHead(request) + FirstEvent + SecondEvent);
        });
        const std::string answer = callRaw(fixture, "/tell/1");
        CHECK(countText(answer, "id: 1") == 1);
        CHECK(countText(answer, "id: 2") == 1);
        CHECK(isMarkedComplete(answer));
    }
    SUBCASE("as a plain answer")
    {
        GatewayFixture fixture([](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedUnframedHead(request) + "whole");
        });
        const auto answer = fixture.send("/take/1");
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 200);
        CHECK(value(answer).body == "whole");
    }
    SUBCASE("but not one whose connection is reset")
    {
        GatewayFixture fixture([](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedUnframedHead(request) + "part", true);
        });
        CHECK(fixture.statusOf("/take/1") == 502);
    }
}

TEST_CASE("A stream that ends inside an event has been broken off")
{
    struct Ending
    {
        bool isChunked;
        std::string bytes;
    };
    const std::vector<Ending> endings{
        {false, HalfEvent},
        {false, "id: 2\ndata: b\n"},
        {true, StubUpstream::encodeChunk(HalfEvent) + StubUpstream::encodeChunk("")},
    };
    Ending ending;
    const auto breakOff = [&](const HttpRequest &request) {
        const std::string begin =
            ending.isChunked
                ? StubUpstream::sealedStreamHead(request) + StubUpstream::encodeChunk(FirstEvent)
                : StubUpstream::sealedUnframedHead(request) + FirstEvent;
        return replyWith(begin + ending.bytes);
    };
    const auto resume = [](const HttpRequest &request) {
        return replyWith(StubUpstream::sealedUnframedHead(request) + SecondEvent);
    };
    SUBCASE("and its caller is told so")
    {
        for (const Ending &each : endings) {
            ending = each;
            GatewayFixture fixture(breakOff, breakOff);
            const std::string answer = callRaw(fixture, "/tell/1");
            CHECK(countText(answer, "id: 1") == 1);
            CHECK(countText(answer, "id: 2") == 0);
            CHECK(!isMarkedComplete(answer));
        }
    }
    SUBCASE("and goes on at another upstream if it may")
    {
        for (const Ending &each : endings) {
            ending = each;
            GatewayFixture fixture(breakOff, resume);
            const std::string answer = callRaw(fixture, "/retell/1");
            CHECK(countText(answer, "id: 1") == 1);
            CHECK(countText(answer, "id: 2") == 1);
            CHECK(isMarkedComplete(answer));
            REQUIRE(fixture.second.received.size() == 1);
            CHECK(findHeader(fixture.second.received[0].headers, "Last-Event-Id") == "1");
        }
    }
}

TEST_CASE("A broken stream takes nothing from an upstream that cannot continue it")
{
    const auto breakOff = [](const HttpRequest &request) {
        return replyWith(StubUpstream::sealedUnframedHead(request) + FirstEvent, true);
    };
    StubUpstream::Behaviour second;
    SUBCASE("and answers with a server error")
    {
        second = [](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedAnswer(request, 500, ErrorText));
        };
    }
    SUBCASE("and answers with a request error")
    {
        second = [](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedAnswer(request, 404, ErrorText));
        };
    }
    SUBCASE("and has not run it")
    {
        second = [](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedAnswer(request, 503, ErrorText,
                                                        "Marjoramtray-Not-Executed: full"));
        };
    }
    SUBCASE("and answers with a text in place of events")
    {
        second = [](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedAnswer(request, 200, ErrorText));
        };
    }
    SUBCASE("and answers with no events")
    {
        second = [](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedAnswer(request, 200, ""));
        };
    }
    SUBCASE("and closes before its first event")
    {
        second = [](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedUnframedHead(request));
        };
    }
    SUBCASE("and answers with no content")
    {
        second = [](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedAnswer(request, 204, ""));
        };
    }
    SUBCASE("and begins anew")
    {
        second = [](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedUnframedHead(request) + FirstEvent + SecondEvent);
        };
    }
    SUBCASE("and answers with an unsealed stream")
    {
        second = [](const HttpRequest &) {
            return replyWith("HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: r1\r\n"
                             "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: x\n\n");
        };
    }
    GatewayFixture fixture(breakOff, second);
    const std::string answer = callRaw(fixture, "/retell/1");
    CHECK(fixture.second.received.size() == 1);
    CHECK(countText(answer, "HTTP/1.1") == 1);
    CHECK(countText(answer, ErrorText) == 0);
    CHECK(countText(answer, "id: 1") == 1);
    CHECK(!isMarkedComplete(answer));
}

TEST_CASE("A stream that broke after its last event is completed by the end that another one sends")
{
    GatewayFixture fixture(
        [](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedUnframedHead(request) + FirstEvent, true);
        },
        [](const HttpRequest &request) {
            return replyWith(StubUpstream::sealedStreamHead(request) +
                             StubUpstream::encodeChunk(""));
        });
    const std::string answer = callRaw(fixture, "/retell/1");
    CHECK(countText(answer, "id: 1") == 1);
    CHECK(isMarkedComplete(answer));
}

TEST_CASE("An answer whose head breaks off at any byte is never passed on as complete")
{
    bool isStream = false;
    std::string framing;
    SUBCASE("of a plain answer with a length")
    {
        framing = "Content-Length: 5\r\n";
    }
    SUBCASE("of a plain answer in chunks")
    {
        framing = "Transfer-Encoding: chunked\r\n";
    }
    SUBCASE("of a stream that ends with its connection")
    {
        isStream = true;
    }
    SUBCASE("of a stream in chunks")
    {
        isStream = true;
        framing = "Transfer-Encoding: chunked\r\n";
    }
    std::string whole = "HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: r1\r\n"
                        "Marjoramtray-Response-Seal: s1\r\n" +
                        framing + "\r\n";
    const size_t headSize = whole.size();
    size_t cutAt = 0;
    const auto cut = [&](const HttpRequest &) { return replyWith(whole.substr(0, cutAt)); };
    GatewayFixture fixture(cut, cut);
    for (cutAt = 0; cutAt <= headSize; ++cutAt) {
        const auto answer = fixture.send(isStream ? "/tell/1" : "/take/1");
        // An aborted stream ends the connection after its head, which the caller sees as an error.
        const bool isWhole = isOk(answer) && value(answer).status == 200;
        INFO(cutAt << " of " << headSize);
        CHECK_FALSE(isWhole);
    }
}
