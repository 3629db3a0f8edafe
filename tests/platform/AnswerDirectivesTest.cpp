// What upstreams ask for in their answers, over real sockets.
#include "GatewayFixture.h"

using namespace tray;
using namespace tray::test;

namespace {

// Limit that the upstreams of these tests name, in requests per second.
constexpr double LimitPerSecond = 1.2;
// Bound of the platform's LIMIT rule.
constexpr Duration LimitWindow = std::chrono::seconds(4);
constexpr size_t MaxRequestsInWindow = 12; // 1.5 x 1.2 x 4 + 5
// Time from which machines that were told of a limit count.
constexpr Duration ToldAfter = milliseconds(500);

/// An upstream that records when it received requests.
struct TimedUpstream
{
    std::vector<Instant> times;
    std::string headerLine;

    StubReply answer(const HttpRequest &request)
    {
        this->times.push_back(clockNow());
        return {this->headerLine.empty()
                    ? StubUpstream::sealedAnswer(request, 200, "fine")
                    : StubUpstream::sealedAnswer(request, 200, "fine", this->headerLine)};
    }

    /// Most requests within a window, from a time on.
    size_t mostInWindow(Instant since, Duration window) const
    {
        size_t most = 0;
        for (auto first = this->times.begin(); first != this->times.end(); ++first) {
            if (*first < since)
                continue;
            const auto end = std::find_if(first, this->times.end(),
                                          [&](Instant time) { return time >= *first + window; });
            most = std::max(most, static_cast<size_t>(end - first));
        }
        return most;
    }
};

struct DirectivesFixture
{
    TimedUpstream first;
    TimedUpstream second;
    GatewayFixture gateway{
        [this](const HttpRequest &request) { return this->first.answer(request); },
        [this](const HttpRequest &request) { return this->second.answer(request); }};

    /// Sends one of a series of requests, some 50 a second if they are answered at once.
    int request(const std::string &target = "/look/1")
    {
        this->gateway.runFor(milliseconds(20));
        return this->gateway.statusOf(target);
    }
};

} // namespace

TEST_CASE("Upstreams that name a limit get no more requests per second than it allows")
{
    DirectivesFixture fixture;
    fixture.first.headerLine = fixture.second.headerLine = "Server-Limit: 1.2";
    const Instant begin = clockNow();
    SUBCASE("from one gateway")
    {
        while (clockNow() < begin + milliseconds(6500))
            fixture.request();
    }
    SUBCASE("from two gateways together")
    {
        const auto [address, readiness] =
            std::pair(fixture.gateway.address, fixture.gateway.readiness);
        const auto peer = fixture.gateway.startPeer("front-2", "there");
        const auto [peerAddress, peerReadiness] =
            std::pair(fixture.gateway.address, fixture.gateway.readiness);
        bool usesPeer = false;
        while (clockNow() < begin + milliseconds(6500)) {
            usesPeer = !usesPeer;
            fixture.gateway.address = usesPeer ? peerAddress : address;
            fixture.gateway.readiness = usesPeer ? peerReadiness : readiness;
            fixture.request();
        }
    }
    const Instant since = begin + ToldAfter;
    CHECK(fixture.first.mostInWindow(since, LimitWindow) <= MaxRequestsInWindow);
    CHECK(fixture.second.mostInWindow(since, LimitWindow) <= MaxRequestsInWindow);
    // The limit is also used.
    CHECK(static_cast<double>(fixture.first.times.size() + fixture.second.times.size()) >=
          LimitPerSecond * 4);
}

TEST_CASE("An upstream that says that it is leaving gets no new requests")
{
    DirectivesFixture fixture;
    CHECK(fixture.request() == 200);
    REQUIRE(fixture.first.times.size() == 1);
    fixture.first.headerLine = "Server-Leaving: 1";
    CHECK(fixture.request() == 200);
    const size_t told = fixture.first.times.size();
    REQUIRE(told == 2);
    SUBCASE("while the instance list shows it as ready")
    {
        for (int i = 0; i < 10; ++i)
            CHECK(fixture.request() == 200);
    }
    SUBCASE("when it has vanished from the list and is listed again")
    {
        fixture.gateway.store.remove("servers", "i-1");
        fixture.gateway.runFor(milliseconds(1500));
        fixture.gateway.addUpstream("i-1", "here", fixture.gateway.firstAddress);
        fixture.gateway.runFor(milliseconds(1500));
        CHECK(fixture.request() == 200);
    }
    SUBCASE("and its requests are refused at once if no other is left")
    {
        fixture.gateway.store.remove("servers", "i-2");
        fixture.gateway.runFor(milliseconds(1500));
        const Instant before = clockNow();
        CHECK(fixture.request() == 503);
        CHECK(clockNow() - before < milliseconds(500));
    }
    CHECK(fixture.first.times.size() == told);
}

TEST_CASE("An upstream that answers 503 with Retry-After is left alone for that time")
{
    const auto refuse = [](const HttpRequest &request, const std::string &retryAfter) {
        return StubReply{StubUpstream::sealedAnswer(
            request, 503, "",
            "Marjoramtray-Not-Executed: 1" +
                (retryAfter.empty() ? "" : "\r\nRetry-After: " + retryAfter))};
    };
    std::string retryAfter = "1.5";
    std::vector<Instant> times;
    bool isRefusing = true;
    const auto answer = [&](const HttpRequest &request) -> StubReply {
        times.push_back(clockNow());
        return isRefusing ? refuse(request, retryAfter)
                          : StubReply{StubUpstream::sealedAnswer(request, 200, "fine")};
    };
    SUBCASE("and others serve its requests")
    {
        GatewayFixture fixture(answer);
        CHECK(fixture.statusOf("/look/1") == 200);
        const Instant told = clockNow();
        while (clockNow() < told + milliseconds(1300))
            CHECK(fixture.statusOf("/look/1") == 200);
        CHECK(times.size() == 1);
        isRefusing = false;
        fixture.store.remove("servers", "i-2");
        fixture.runFor(milliseconds(2500));
        CHECK(fixture.statusOf("/look/1") == 200);
        CHECK(times.size() == 2);
    }
    SUBCASE("and callers are told when it takes requests again if there is no other")
    {
        GatewayFixture fixture(answer, answer);
        fixture.statusOf("/look/1");
        const Instant told = clockNow();
        const auto refused = fixture.send("/take/1");
        REQUIRE(isOk(refused));
        CHECK(value(refused).status == 429);
        CHECK(clockNow() - told < milliseconds(500));
        const auto wait = std::stod(std::string(findHeader(value(refused).headers, "Retry-After")));
        CHECK(wait > 1.0);
        CHECK(wait <= 1.5);
        CHECK(times.size() == 2);
    }
    SUBCASE("unless the time cannot be read")
    {
        for (const std::string odd :
             {"soon", "-3", "nan", "1e400", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            CAPTURE(odd);
            retryAfter = odd;
            GatewayFixture fixture(answer, answer);
            const size_t before = times.size();
            fixture.statusOf("/take/1");
            fixture.statusOf("/take/1");
            CHECK(times.size() > before + 1);
        }
    }
}
