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
