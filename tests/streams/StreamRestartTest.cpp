// Upstreams that restart under their id with another software version while their streams are
// silent, so that the list shows the restart before the connections break. Guards against streams
// that are cut although other upstreams could continue them, and against joined streams.
#include "VersionedUpstream.h"

using namespace tray;
using namespace tray::test;

namespace {

constexpr uint64_t FirstStartMs = 5;
constexpr uint64_t LaterStartMs = 9;

/// Two upstreams of one version. The first one sends two events, is silent, and breaks off; the
/// list shows meanwhile that it has restarted with another version.
struct RestartFixture : VersionFixture
{
    RestartFixture() : VersionFixture("v1", "v1")
    {
        this->gateway.onStewardDatagram = [this](const proto::Datagram &datagram,
                                                 const Address &sender) {
            if (datagram.has_subscribe() && this->doStewardsReport)
                this->report(datagram.subscribe(), sender);
        };
        this->listUpstream("i-1", this->gateway.firstAddress, "v1", FirstStartMs);
        this->listUpstream("i-2", this->gateway.secondAddress, "v1", FirstStartMs);
        this->allowLongStreams(true);
        this->first.breaks = 1;
    }

    void report(const proto::Subscribe &subscribe, const Address &gateway)
    {
        proto::Datagram datagram;
        auto *snapshot = datagram.mutable_snapshot();
        snapshot->set_upstream_id(subscribe.upstream_id());
        snapshot->set_born_ms(subscribe.born_ms());
        snapshot->set_subscribe_stamp(subscribe.stamp());
        this->gateway.steward.send(gateway, std::move(datagram));
    }

    Result<HttpResponse> stream(Duration listedAfter)
    {
        this->first.silence = listedAfter + milliseconds(800);
        this->gateway.runAfter(listedAfter, [this] {
            this->listUpstream("i-1", this->gateway.firstAddress, "v2", LaterStartMs);
        });
        return this->gateway.send("/retell/1", {}, "", std::chrono::seconds(15));
    }

    bool doStewardsReport = false;
};

} // namespace

TEST_CASE("A stream of an upstream that is seen to restart with another version goes on elsewhere")
{
    RestartFixture fixture;
    SUBCASE("if its steward has reported the upstream since the stream began")
    {
        fixture.doStewardsReport = true;
        CHECK(bodyOf(fixture.stream(milliseconds(2500))) == wholeStream("v1"));
    }
    SUBCASE("if the list would have shown the restart before, had it been before the stream")
    {
        CHECK(bodyOf(fixture.stream(Dispatcher::StartListingTime + milliseconds(2500))) ==
              wholeStream("v1"));
    }
    CHECK(fixture.gateway.second.received.size() == 1);
}

TEST_CASE("A stream that an upstream may have begun after its restart goes on nowhere")
{
    RestartFixture fixture;
    SUBCASE("as no steward has reported the upstream since")
    {
        CHECK_FALSE(isOk(fixture.stream(milliseconds(600))));
    }
    SUBCASE("as the steward's report is older than the stream")
    {
        fixture.doStewardsReport = true;
        fixture.gateway.runFor(milliseconds(1200));
        fixture.doStewardsReport = false;
        CHECK_FALSE(isOk(fixture.stream(milliseconds(600))));
    }
    CHECK(statusOf(fixture.takeUp("r2", "r1", 2)) == 503);
    CHECK(fixture.gateway.second.received.empty());
}
