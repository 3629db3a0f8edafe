// Tests group commit, sealing, retention and limits of a claim shard one rule at a time.
#include "claims/ClaimSimulation.h"

#include <doctest/doctest.h>

namespace tray::test {

namespace {

proto::ClaimVerdict verdictOf(const ClaimSimulation &simulation, size_t claim)
{
    return simulation.claims[claim].lastReply.verdict();
}

} // namespace

TEST_CASE("A claim and its retries")
{
    ClaimSimulation simulation(2);
    simulation.begin(0, 1);
    SUBCASE("is not granted before its write has completed")
    {
        simulation.advanceTime(0, milliseconds(60));
        CHECK(simulation.claims[0].messages == 1);
        CHECK_FALSE(simulation.claims[0].granted);
        simulation.completeCall(0, ClaimSimulation::CallOutcome::Done);
        simulation.advanceTime(0, milliseconds(60));
        CHECK_FALSE(simulation.claims[0].granted);
        simulation.completeCall(0, ClaimSimulation::CallOutcome::Done);
        CHECK(simulation.claims[0].granted);
    }
    simulation.runUntilIdle(0);
    REQUIRE(simulation.claims[0].granted);

    SUBCASE("gets the same verdict again, also from another owner")
    {
        simulation.claims[0].lastReply.Clear();
        simulation.retryBegin(1, 0);
        simulation.runUntilIdle(1);
        CHECK(verdictOf(simulation, 0) == proto::CLAIM_VERDICT_GRANTED);
    }
    SUBCASE("blocks another claim of the key, even if its entry instance has died")
    {
        simulation.restartOwner(0);
        simulation.begin(0, 1);
        simulation.runUntilIdle(0);
        CHECK(verdictOf(simulation, 1) == proto::CLAIM_VERDICT_IN_PROGRESS);
    }
    SUBCASE("refuses the key for another body")
    {
        simulation.begin(1, 1, 2);
        simulation.runUntilIdle(1);
        CHECK(verdictOf(simulation, 1) == proto::CLAIM_VERDICT_BODY_DIFFERS);
    }
    SUBCASE("frees the key once released, but not for the released claim")
    {
        simulation.release(0, 0);
        simulation.runUntilIdle(0);
        simulation.claims[0].abandoned = false;
        simulation.retryBegin(1, 0);
        simulation.runUntilIdle(1);
        CHECK(verdictOf(simulation, 0) == proto::CLAIM_VERDICT_UNAVAILABLE);
        simulation.claims[0].abandoned = true;
        simulation.begin(1, 1);
        simulation.runUntilIdle(1);
        CHECK(verdictOf(simulation, 1) == proto::CLAIM_VERDICT_GRANTED);
    }
    SUBCASE("is answered from its sealed period")
    {
        simulation.finish(0, 0, 20);
        simulation.runUntilIdle(0);
        simulation.advanceTime(0, milliseconds(1100));
        simulation.begin(0, 2);
        simulation.runUntilIdle(0);
        REQUIRE(simulation.objects.size() > 1);
        for (const size_t owner : {0, 1}) {
            simulation.begin(owner, 1);
            CHECK(simulation.hasCalls(owner));
            simulation.runUntilIdle(owner);
            CHECK(simulation.claims.back().lastReply.record().answer() ==
                  simulation.claims[0].answer);
        }
    }
    SUBCASE("is answered from the record once finished, and from memory if the answer is large")
    {
        const size_t size = 20;
        simulation.finish(0, 0, size);
        simulation.runUntilIdle(0);
        simulation.begin(1, 1);
        simulation.runUntilIdle(1);
        CHECK(verdictOf(simulation, 1) == proto::CLAIM_VERDICT_FINISHED);
        CHECK(simulation.claims[1].lastReply.record().answer() == simulation.claims[0].answer);
        simulation.begin(0, 2);
        simulation.runUntilIdle(0);
        simulation.finish(0, 2, 500);
        simulation.runUntilIdle(0);
        simulation.begin(0, 2);
        simulation.begin(1, 2);
        simulation.runUntilIdle(1);
        CHECK(simulation.claims[3].lastReply.record().answer().size() > 500);
        CHECK(simulation.claims[4].lastReply.record().answer_dropped());
    }
    CHECK(simulation.violation == "");
}

// Guards against callers that wait during a platform outage, or that are told "not run" although
// the claim is granted later.
TEST_CASE("Refusals during an outage")
{
    ClaimSimulation simulation(2);
    simulation.begin(0, 1);
    SUBCASE("are immediate, and the next claims need no call")
    {
        simulation.completeCall(0, ClaimSimulation::CallOutcome::Unavailable);
        CHECK(simulation.claims[0].refused);
        simulation.begin(0, 2);
        CHECK(simulation.claims[1].refused);
        CHECK_FALSE(simulation.claims[1].mustRelease);
        simulation.advanceTime(0, milliseconds(300));
        simulation.begin(0, 3);
        simulation.runUntilIdle(0);
        CHECK(simulation.claims[2].granted);
    }
    SUBCASE("request a release if a write is in flight")
    {
        simulation.completeCall(0, ClaimSimulation::CallOutcome::Done);
        simulation.advanceTime(0, milliseconds(60));
        simulation.completeCall(0, ClaimSimulation::CallOutcome::LateEffect);
        simulation.completeCall(0, ClaimSimulation::CallOutcome::Unavailable);
        CHECK(simulation.claims[0].refused);
        CHECK(simulation.claims[0].mustRelease);
        SUBCASE("and the release prevents the write")
        {
            simulation.release(1, 0);
        }
        SUBCASE("and the release undoes the write")
        {
            simulation.applyDelayedWrite();
            simulation.release(1, 0);
        }
        simulation.runUntilIdle(1);
        CHECK_FALSE(simulation.claims[0].mustRelease);
        simulation.applyDelayedWrite();
        simulation.begin(1, 1);
        simulation.runUntilIdle(1);
        CHECK(simulation.claims[1].granted);
    }
    CHECK(simulation.violation == "");
}

// Guards against a number of writes that grows with the request rate, and against objects that are
// never removed.
TEST_CASE("Commits are grouped, periods are sealed and removed after the retention time")
{
    ClaimSimulation simulation(1);
    simulation.settings.sealThresholdBytes = 500000;
    simulation.settings.maxHeadBytes = 900000;
    simulation.settings.maxQueueBytes = 800000;
    simulation.restartOwner(0);
    for (int i = 0; i < 2000; ++i) {
        for (int j = 0; j < 5; ++j)
            simulation.begin(0, i * 5 + j);
        while (simulation.hasCalls(0))
            simulation.completeCall(0, ClaimSimulation::CallOutcome::Done);
        simulation.advanceTime(0, milliseconds(10));
    }
    simulation.runUntilIdle(0);
    for (const ClaimSimulation::Claim &claim : simulation.claims)
        REQUIRE(claim.granted);
    // 20 s with at most 10 writes per second; one write in 10 seals a period of 1 s.
    CHECK(simulation.writes <= 210);
    CHECK(simulation.writes > 150);
    // Sealed periods of 8 s retention time, and the open one.
    CHECK(simulation.objects.size() <= 12);
    CHECK(simulation.objects.size() >= 8);
    CHECK(simulation.violation == "");
}

TEST_CASE("Large answers are evicted oldest first")
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
