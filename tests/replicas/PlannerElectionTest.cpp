// Taking over the planner's role.
#include "replicas/PlannerElection.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("A gateway takes the planner's role only after silence")
{
    const Instant start{std::chrono::hours(1)};
    PlannerElection election(0, 1, start);
    // After a start no planner may be left, so the first wait is shorter.
    CHECK_FALSE(election.wantsRole(start + PlannerElection::FirstSilence - milliseconds(1)));
    CHECK(election.wantsRole(start + PlannerElection::FirstSilence));

    SUBCASE("the word of a planner keeps it from trying")
    {
        const Instant heardAt = start + milliseconds(1900);
        election.heard(7, heardAt);
        CHECK(election.knowsPlanner(heardAt));
        CHECK_FALSE(election.wantsRole(heardAt + PlannerElection::Silence - milliseconds(1)));
        CHECK(election.wantsRole(heardAt + PlannerElection::Silence));
    }
    SUBCASE("one try at a time while the store is slow")
    {
        const Instant now = start + PlannerElection::Silence;
        election.tryBegan(now);
        CHECK_FALSE(election.wantsRole(now + milliseconds(1)));
        CHECK(election.wantsRole(now + PlannerElection::RetryPause));
    }
    SUBCASE("the planner resigns when it hears a higher term")
    {
        election.won(10, start + std::chrono::seconds(3), start + std::chrono::seconds(3));
        CHECK(election.isPlanner());
        election.heard(9, start + std::chrono::seconds(4));
        CHECK(election.isPlanner());
        election.heard(12, start + std::chrono::seconds(4));
        CHECK_FALSE(election.isPlanner());
        CHECK(election.ownTerm() == 0);
    }
    SUBCASE("a term that was won late does not count below one that was heard")
    {
        election.heard(12, start + std::chrono::seconds(3));
        election.won(10, start + std::chrono::seconds(3), start + std::chrono::seconds(3));
        CHECK_FALSE(election.isPlanner());
    }
    SUBCASE("a lost race waits for the winner's word")
    {
        const Instant now = start + PlannerElection::Silence;
        election.lost(now);
        CHECK_FALSE(election.wantsRole(now + PlannerElection::Silence - milliseconds(1)));
        CHECK(election.wantsRole(now + PlannerElection::Silence));
    }
}

TEST_CASE("A strong instance takes the role before any weak one")
{
    const Instant start{std::chrono::hours(1)};
    // The most patient strong candidate against the least patient weak one.
    const auto lastHash = static_cast<uint64_t>(toMs(PlannerElection::Spread)) - 1;
    PlannerElection strong(lastHash, 0.5, start);
    PlannerElection weak(0, 0.09, start);
    Instant now = start;
    while (!strong.wantsRole(now))
        now += milliseconds(1);
    CHECK_FALSE(weak.wantsRole(now));

    SUBCASE("and its word keeps them from it")
    {
        weak.heard(3, now);
        CHECK_FALSE(weak.wantsRole(now + PlannerElection::Silence));
    }
    SUBCASE("but a weak one plans if there is no other")
    {
        CHECK(weak.wantsRole(now + PlannerElection::WeakDelay));
    }
}

TEST_CASE("A planner that was paused plans no more by its old term")
{
    const Instant start{std::chrono::hours(1)};
    PlannerElection election(0, 1, start);
    election.won(10, start, start + milliseconds(5));
    const Instant spokeAt = start + milliseconds(500);
    election.spoke(spokeAt);

    SUBCASE("for as long as its peers wait before one of them takes the role")
    {
        const Instant now = spokeAt + PlannerElection::Silence;
        CHECK(election.lapse(now));
        CHECK_FALSE(election.isPlanner());
        CHECK_FALSE(election.lapse(now));

        SUBCASE("and takes the role again only if no other planner is heard")
        {
            CHECK_FALSE(election.wantsRole(now + PlannerElection::Silence - milliseconds(1)));
            CHECK(election.wantsRole(now + PlannerElection::Silence));
        }
        SUBCASE("and not at all from one with a higher term")
        {
            election.heard(11, now + milliseconds(100));
            CHECK(election.knowsPlanner(now + milliseconds(200)));
        }
    }
    SUBCASE("but a shorter pause changes nothing")
    {
        CHECK_FALSE(election.lapse(spokeAt + PlannerElection::Silence - milliseconds(1)));
        CHECK(election.ownTerm() == 10);
    }
}

TEST_CASE("A term whose record was written before a pause is not taken after it")
{
    const Instant start{std::chrono::hours(1)};
    PlannerElection election(0, 1, start);
    const Instant calledAt = start + std::chrono::seconds(3);
    election.won(10, calledAt, calledAt + PlannerElection::Silence);
    CHECK_FALSE(election.isPlanner());
    CHECK_FALSE(election.wantsRole(calledAt + 2 * PlannerElection::Silence - milliseconds(1)));
}
