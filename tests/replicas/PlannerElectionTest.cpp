// Election of the planner: timeouts, terms and resignation.
#include "replicas/PlannerElection.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("A gateway takes the planner's role only after the election timeout")
{
    const Instant start{std::chrono::hours(1)};
    PlannerElection election(0, 1, start);
    // After a start no planner may be left, so the first wait is shorter.
    CHECK_FALSE(
        election.shouldCampaign(start + PlannerElection::InitialElectionTimeout - milliseconds(1)));
    CHECK(election.shouldCampaign(start + PlannerElection::InitialElectionTimeout));

    SUBCASE("the heartbeat of a planner keeps it from trying")
    {
        const Instant heardAt = start + milliseconds(1900);
        election.noteHeartbeat(7, heardAt);
        CHECK(election.knowsPlanner(heardAt));
        CHECK_FALSE(
            election.shouldCampaign(heardAt + PlannerElection::ElectionTimeout - milliseconds(1)));
        CHECK(election.shouldCampaign(heardAt + PlannerElection::ElectionTimeout));
    }
    SUBCASE("one try at a time while the store is slow")
    {
        const Instant now = start + PlannerElection::ElectionTimeout;
        election.noteCampaignBegan(now);
        CHECK_FALSE(election.shouldCampaign(now + milliseconds(1)));
        CHECK(election.shouldCampaign(now + PlannerElection::CampaignRetryDelay));
    }
    SUBCASE("the planner resigns when it receives a higher term")
    {
        election.noteWon(10, start + std::chrono::seconds(3), start + std::chrono::seconds(3));
        CHECK(election.isPlanner());
        election.noteHeartbeat(9, start + std::chrono::seconds(4));
        CHECK(election.isPlanner());
        election.noteHeartbeat(12, start + std::chrono::seconds(4));
        CHECK_FALSE(election.isPlanner());
        CHECK(election.ownTerm() == 0);
    }
    SUBCASE("a term below one that was received is not taken")
    {
        election.noteHeartbeat(12, start + std::chrono::seconds(3));
        election.noteWon(10, start + std::chrono::seconds(3), start + std::chrono::seconds(3));
        CHECK_FALSE(election.isPlanner());
    }
    SUBCASE("after a lost race a candidate waits for the winner's heartbeat")
    {
        const Instant now = start + PlannerElection::ElectionTimeout;
        election.noteLost(now);
        CHECK_FALSE(
            election.shouldCampaign(now + PlannerElection::ElectionTimeout - milliseconds(1)));
        CHECK(election.shouldCampaign(now + PlannerElection::ElectionTimeout));
    }
}

TEST_CASE("A strong instance takes the role before any weak one")
{
    const Instant start{std::chrono::hours(1)};
    // The strong candidate with the longest timeout against the weak one with the shortest.
    const auto lastHash = static_cast<uint64_t>(toMs(PlannerElection::MaxElectionJitter)) - 1;
    PlannerElection strong(lastHash, 0.5, start);
    PlannerElection weak(0, 0.09, start);
    Instant now = start;
    while (!strong.shouldCampaign(now))
        now += milliseconds(1);
    CHECK_FALSE(weak.shouldCampaign(now));

    SUBCASE("and its heartbeat keeps them from it")
    {
        weak.noteHeartbeat(3, now);
        CHECK_FALSE(weak.shouldCampaign(now + PlannerElection::ElectionTimeout));
    }
    SUBCASE("but a weak one becomes planner if there is no other")
    {
        CHECK(weak.shouldCampaign(now + PlannerElection::LowCpuShareDelay));
    }
}

TEST_CASE("A planner that was paused does not plan in its old term")
{
    const Instant start{std::chrono::hours(1)};
    PlannerElection election(0, 1, start);
    election.noteWon(10, start, start + milliseconds(5));
    const Instant heartbeatSentAt = start + milliseconds(500);
    election.noteHeartbeatSent(heartbeatSentAt);

    SUBCASE("if the pause lasted as long as the election timeout of its peers")
    {
        const Instant now = heartbeatSentAt + PlannerElection::ElectionTimeout;
        CHECK(election.resignIfExpired(now));
        CHECK_FALSE(election.isPlanner());
        CHECK_FALSE(election.resignIfExpired(now));

        SUBCASE("and takes the role again only if it receives no heartbeat of another planner")
        {
            CHECK_FALSE(
                election.shouldCampaign(now + PlannerElection::ElectionTimeout - milliseconds(1)));
            CHECK(election.shouldCampaign(now + PlannerElection::ElectionTimeout));
        }
        SUBCASE("and not while another planner has a higher term")
        {
            election.noteHeartbeat(11, now + milliseconds(100));
            CHECK(election.knowsPlanner(now + milliseconds(200)));
        }
    }
    SUBCASE("but a shorter pause changes nothing")
    {
        CHECK_FALSE(election.resignIfExpired(heartbeatSentAt + PlannerElection::ElectionTimeout -
                                             milliseconds(1)));
        CHECK(election.ownTerm() == 10);
    }
}

TEST_CASE("A term whose record was written before a pause is not taken after it")
{
    const Instant start{std::chrono::hours(1)};
    PlannerElection election(0, 1, start);
    const Instant calledAt = start + std::chrono::seconds(3);
    election.noteWon(10, calledAt, calledAt + PlannerElection::ElectionTimeout);
    CHECK_FALSE(election.isPlanner());
    CHECK_FALSE(
        election.shouldCampaign(calledAt + 2 * PlannerElection::ElectionTimeout - milliseconds(1)));
}
