// Group commit, sealing, retention and limits of a claim shard, one rule at a time.
#include "claims/ClaimWorld.h"

#include <doctest/doctest.h>

namespace tray::test {

namespace {

proto::ClaimVerdict verdict(const ClaimWorld &world, size_t claim)
{
    return world.claims[claim].lastReply.verdict();
}

} // namespace

TEST_CASE("A claim and its repeats")
{
    ClaimWorld world(2);
    world.begin(0, 1);
    SUBCASE("is not granted before its write is done")
    {
        world.tick(0, milliseconds(60));
        CHECK(world.claims[0].messages == 1);
        CHECK_FALSE(world.claims[0].granted);
        world.endCall(0, ClaimWorld::Fate::Done);
        world.tick(0, milliseconds(60));
        CHECK_FALSE(world.claims[0].granted);
        world.endCall(0, ClaimWorld::Fate::Done);
        CHECK(world.claims[0].granted);
    }
    world.settle(0);
    REQUIRE(world.claims[0].granted);

    SUBCASE("gives the same claim the same verdict, also at another owner")
    {
        world.claims[0].lastReply.Clear();
        world.repeat(1, 0);
        world.settle(1);
        CHECK(verdict(world, 0) == proto::CLAIM_VERDICT_GRANTED);
    }
    SUBCASE("holds off another claim of the key, even when its entry instance died")
    {
        world.kill(0);
        world.begin(0, 1);
        world.settle(0);
        CHECK(verdict(world, 1) == proto::CLAIM_VERDICT_IN_PROGRESS);
    }
    SUBCASE("refuses the key with another body")
    {
        world.begin(1, 1, 2);
        world.settle(1);
        CHECK(verdict(world, 1) == proto::CLAIM_VERDICT_BODY_DIFFERS);
    }
    SUBCASE("can be claimed again once released, but not by the released claim")
    {
        world.release(0, 0);
        world.settle(0);
        world.claims[0].givenUp = false;
        world.repeat(1, 0);
        world.settle(1);
        CHECK(verdict(world, 0) == proto::CLAIM_VERDICT_UNAVAILABLE);
        world.claims[0].givenUp = true;
        world.begin(1, 1);
        world.settle(1);
        CHECK(verdict(world, 1) == proto::CLAIM_VERDICT_GRANTED);
    }
    SUBCASE("is answered from its sealed period")
    {
        world.finish(0, 0, 20);
        world.settle(0);
        world.tick(0, milliseconds(1100));
        world.begin(0, 2);
        world.settle(0);
        REQUIRE(world.objects.size() > 1);
        for (const size_t owner : {0, 1}) {
            world.begin(owner, 1);
            CHECK(world.hasCalls(owner));
            world.settle(owner);
            CHECK(world.claims.back().lastReply.record().answer() == world.claims[0].answer);
        }
    }
    SUBCASE("is answered from the record once finished, and a large answer from memory")
    {
        const size_t size = 20;
        world.finish(0, 0, size);
        world.settle(0);
        world.begin(1, 1);
        world.settle(1);
        CHECK(verdict(world, 1) == proto::CLAIM_VERDICT_FINISHED);
        CHECK(world.claims[1].lastReply.record().answer() == world.claims[0].answer);
        world.begin(0, 2);
        world.settle(0);
        world.finish(0, 2, 500);
        world.settle(0);
        world.begin(0, 2);
        world.begin(1, 2);
        world.settle(1);
        CHECK(world.claims[3].lastReply.record().answer().size() > 500);
        CHECK(world.claims[4].lastReply.record().answer_dropped());
    }
    CHECK(world.violation == "");
}

// Guards against a platform outage that keeps callers waiting, or that is told as "not run"
// although the claim is granted later.
TEST_CASE("Refusals during an outage")
{
    ClaimWorld world(2);
    world.begin(0, 1);
    SUBCASE("come at once, and the next claims need no call")
    {
        world.endCall(0, ClaimWorld::Fate::Unavailable);
        CHECK(world.claims[0].refused);
        world.begin(0, 2);
        CHECK(world.claims[1].refused);
        CHECK_FALSE(world.claims[1].mustRelease);
        world.tick(0, milliseconds(300));
        world.begin(0, 3);
        world.settle(0);
        CHECK(world.claims[2].granted);
    }
    SUBCASE("ask for a release if a write is on its way")
    {
        world.endCall(0, ClaimWorld::Fate::Done);
        world.tick(0, milliseconds(60));
        world.endCall(0, ClaimWorld::Fate::LateEffect);
        world.endCall(0, ClaimWorld::Fate::Unavailable);
        CHECK(world.claims[0].refused);
        CHECK(world.claims[0].mustRelease);
        SUBCASE("and the release stops the write")
        {
            world.release(1, 0);
        }
        SUBCASE("and the release undoes the write")
        {
            world.applyLate();
            world.release(1, 0);
        }
        world.settle(1);
        CHECK_FALSE(world.claims[0].mustRelease);
        world.applyLate();
        world.begin(1, 1);
        world.settle(1);
        CHECK(world.claims[1].granted);
    }
    CHECK(world.violation == "");
}

// Guards against writes that grow with the request rate, and against objects that never go away.
TEST_CASE("Commits are grouped, periods are sealed and leave after the retention")
{
    ClaimWorld world(1);
    world.settings.sealBytes = 500000;
    world.settings.headBytes = 900000;
    world.settings.queueBytes = 800000;
    world.kill(0);
    for (int i = 0; i < 2000; ++i) {
        for (int j = 0; j < 5; ++j)
            world.begin(0, i * 5 + j);
        while (world.hasCalls(0))
            world.endCall(0, ClaimWorld::Fate::Done);
        world.tick(0, milliseconds(10));
    }
    world.settle(0);
    for (const ClaimWorld::Claim &claim : world.claims)
        REQUIRE(claim.granted);
    // 20 s at most 10 writes a second; one write in 10 seals a period of 1 s.
    CHECK(world.writes <= 210);
    CHECK(world.writes > 150);
    // Retention of 8 s and the period that is open.
    CHECK(world.objects.size() <= 12);
    CHECK(world.objects.size() >= 8);
    CHECK(world.violation == "");
}

TEST_CASE("Large answers leave memory oldest first")
{
    ClaimAnswers answers(100);
    answers.put("a", std::string(60, 'a'));
    answers.put("b", std::string(30, 'b'));
    answers.put("c", std::string(20, 'c'));
    answers.put("d", std::string(101, 'd'));
    CHECK_FALSE(answers.find("a"));
    CHECK(answers.find("b"));
    CHECK(answers.find("c"));
    CHECK_FALSE(answers.find("d"));
    CHECK(answers.bytes() == 50);
}

} // namespace tray::test
