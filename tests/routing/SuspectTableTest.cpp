// Tests that each crash of a suspect is counted once over all processes.
#include "routing/SuspectTable.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("Crashes of a request are counted over all processes")
{
    const Instant start{std::chrono::hours(1)};
    SuspectTable entry;
    SuspectTable agent;
    const auto exchange = [&](Instant now) {
        for (const auto &suspect : agent.recentChanges(now, false))
            entry.merge(suspect, now);
        for (const auto &suspect : entry.recentChanges(now, false))
            agent.merge(suspect, now);
    };
    entry.recordCrash(1, "a", start);
    SUBCASE("one crash that two processes report counts once, before and after an exchange")
    {
        agent.recordCrash(1, "a", start);
        exchange(start);
        CHECK(entry.crashCount(1, start) == 1);
        entry.recordCrash(1, "a", start + milliseconds(300));
        agent.recordCrash(1, "a", start + milliseconds(300));
        exchange(start + milliseconds(300));
        CHECK(agent.crashCount(1, start) == 1);
    }
    SUBCASE("crashes of two upstreams count twice, in whichever process they are recorded")
    {
        agent.recordCrash(1, "b", start);
        exchange(start);
        exchange(start);
        CHECK(entry.crashCount(1, start) == 2);
        CHECK(agent.crashCount(1, start) == 2);
    }
    SUBCASE("a second crash of an upstream counts after it had time to restart")
    {
        entry.recordCrash(1, "a", start + SuspectTable::CrashDedupWindow);
        CHECK(entry.crashCount(1, start) == 2);
    }
    SUBCASE("a suspect expires, and its changes are sent for a limited time")
    {
        CHECK(entry.recentChanges(start + SuspectTable::PropagationTime, false).empty());
        CHECK(entry.recentChanges(start + SuspectTable::PropagationTime, true).size() == 1);
        const auto late = start + SuspectTable::SuspectLifetime;
        CHECK(entry.crashCount(1, late) == 0);
        CHECK(entry.recentChanges(late, true).empty());
    }
    SUBCASE("the table is bounded")
    {
        for (uint64_t digest = 0; digest < 2 * SuspectTable::MaxSuspects; ++digest)
            entry.recordCrash(digest, "a", start + milliseconds(digest));
        CHECK(entry.recentChanges(start, true).size() <= SuspectTable::MaxSuspects);
    }
}
