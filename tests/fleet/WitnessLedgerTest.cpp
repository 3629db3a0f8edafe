// Which witnesses of a stream must be told again. Guards against streams whose origin nobody knows
// any more after all witnesses have restarted, one after the other.
#include "fleet/WitnessLedger.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tray;

namespace {

using Streams = std::vector<uint64_t>;

const Address Steward{"10.0.0.1", 7400};
const Address OtherSteward{"10.0.0.2", 7400};

Instant at(int seconds)
{
    return Instant{} + std::chrono::seconds(1000 + seconds);
}

Streams sorted(Streams streams)
{
    std::sort(streams.begin(), streams.end());
    return streams;
}

} // namespace

TEST_CASE("A witness that has restarted is told again of the streams that it was told of")
{
    WitnessLedger ledger;
    CHECK(ledger.noteSteward(Steward, 1, at(0)).empty());
    CHECK(ledger.notePeer("front-2", 5, at(0)).empty());
    CHECK(ledger.notePeer("front-3", 6, at(0)).empty());
    ledger.noteTold(11, {{Steward}, {"front-2", "front-3"}}, at(30), at(1));
    ledger.noteTold(12, {{Steward, OtherSteward}, {"front-2", "front-3"}}, at(30), at(2));
    ledger.noteTold(13, {{OtherSteward}, {"front-3", "front-4"}}, at(30), at(3));

    SUBCASE("but not while it runs on")
    {
        CHECK(ledger.noteSteward(Steward, 1, at(4)).empty());
        CHECK(ledger.notePeer("front-2", 5, at(4)).empty());
    }
    SUBCASE("as a steward")
    {
        CHECK(sorted(ledger.noteSteward(Steward, 2, at(4))) == Streams{11, 12});
        CHECK(ledger.noteSteward(Steward, 2, at(5)).empty());
    }
    SUBCASE("as a peer gateway")
    {
        CHECK(sorted(ledger.notePeer("front-2", 7, at(4))) == Streams{11, 12});
        CHECK(ledger.notePeer("front-2", 7, at(5)).empty());
    }
    SUBCASE("also if it was not heard of before")
    {
        CHECK(sorted(ledger.noteSteward(OtherSteward, 9, at(4))) == Streams{12, 13});
        CHECK(ledger.notePeer("front-4", 9, at(4)) == Streams{13});
    }
    SUBCASE("but an instance of an earlier release, which states no incarnation, is not")
    {
        CHECK(ledger.noteSteward(Steward, 0, at(4)).empty());
        CHECK(ledger.noteSteward(Steward, 1, at(5)).empty());
    }
    SUBCASE("until nobody takes the streams up any more")
    {
        ledger.noteTold(14, {{Steward}, {}}, at(60), at(31));
        CHECK(ledger.size() == 1);
        CHECK(ledger.noteSteward(Steward, 2, at(32)) == Streams{14});
    }
}

TEST_CASE("A peer that starts later becomes a witness of streams that have too few")
{
    WitnessLedger ledger;
    ledger.noteTold(11, {{}, {"front-2"}}, at(30), at(1));
    ledger.noteTold(12, {{}, {"front-2", "front-3"}}, at(30), at(1));
    CHECK(ledger.notePeer("front-4", 1, at(2)) == Streams{11});
    CHECK(ledger.notePeer("front-5", 1, at(3)).empty());
    CHECK(ledger.notePeer("front-4", 2, at(4)) == Streams{11});
}

TEST_CASE("The table of told streams stays bounded")
{
    WitnessLedger ledger;
    for (uint64_t stream = 0; stream < WitnessLedger::MaxStreams + 10; ++stream)
        ledger.noteTold(stream, {{Steward}, {}}, at(60), at(1));
    CHECK(ledger.size() == WitnessLedger::MaxStreams);
    CHECK_FALSE(ledger.contains(9));
    CHECK(ledger.contains(10));
}
