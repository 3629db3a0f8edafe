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
