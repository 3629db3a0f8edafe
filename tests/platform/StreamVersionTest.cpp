// Streams of upstreams with several software versions: a stream is continued only at the version
// that began it, within one response and when its caller takes it up again.
#include "GatewayFixture.h"

using namespace tray;
using namespace tray::test;

namespace {

constexpr int Events = 4;

std::string eventOf(std::string_view version, int id)
{
    return fmt::format("id: {}\ndata: {} {}\n\n", id, version, id);
}

/// An upstream whose events name its software version. It breaks off as often as told, each time
/// after two events or after none.
struct VersionedUpstream
{
    std::string version;
    int breaks = 0;
    bool breaksBeforeEvents = false;

    StubReply reply(const HttpRequest &request)
    {
        StubReply reply;
        reply.bytes = StubUpstream::sealedStreamHead(request);
        const std::string last(findHeader(request.headers, "Last-Event-Id"));
        int next = last.empty() ? 1 : std::stoi(last) + 1;
        if (this->breaks > 0) {
            --this->breaks;
            const int end = this->breaksBeforeEvents ? next : std::min(next + 2, Events + 1);
            for (; next < end; ++next)
                reply.bytes += StubUpstream::encodeChunk(eventOf(this->version, next));
            reply.reset = true;
            reply.delay = milliseconds(1);
            return reply;
        }
        for (; next <= Events; ++next)
            reply.bytes += StubUpstream::encodeChunk(eventOf(this->version, next));
        reply.bytes += "0\r\n\r\n";
        return reply;
    }
};

std::string wholeStream(std::string_view version, int first = 1)
{
    std::string text;
    for (int id = first; id <= Events; ++id)
        text += eventOf(version, id);
    return text;
}

/// Upstream i-1, which is asked first, and upstream i-2, each with a software version.
struct VersionFixture
{
    VersionFixture(std::string firstVersion, std::string secondVersion)
        : first{std::move(firstVersion)}, second{std::move(secondVersion)},
          gateway([this](const HttpRequest &request) { return this->first.reply(request); },
                  [this](const HttpRequest &request) { return this->second.reply(request); })
    {
        this->list("i-1", "here", this->gateway.firstAddress, this->first.version);
        this->list("i-2", "there", this->gateway.secondAddress, this->second.version);
        // The first entries, which name no version, must not be in use any more.
        this->gateway.runFor(milliseconds(1500));
    }

    void list(const std::string &id, const std::string &zone, const Address &address,
              const std::string &version)
    {
        this->gateway.store.put(
            "servers", id,
            fmt::format(R"({{"service":"shop","address":"{}","zone":"{}","slots":4,)"
                        R"("state":"ready","sequence":1,"models":[],"version":"{}"}})",
                        toString(address), zone, version));
    }

    /// Takes up the stream of an earlier request after an event.
    Result<HttpResponse> takeUp(const std::string &requestId, const std::string &resumed,
                                int lastEvent)
    {
        this->gateway.requestId = requestId;
        HttpHeaders headers{{"Last-Event-Id", std::to_string(lastEvent)}};
        if (!resumed.empty())
            headers.emplace_back("Resumes", resumed);
        return this->gateway.send("/retell/1", headers);
    }

    VersionedUpstream first;
    VersionedUpstream second;
    GatewayFixture gateway;
};

std::string bodyOf(const Result<HttpResponse> &answer)
{
    return isOk(answer) ? value(answer).body : "";
}

int statusOf(const Result<HttpResponse> &answer)
{
    return isOk(answer) ? value(answer).status : 0;
}

} // namespace

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
