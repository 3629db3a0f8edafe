// Suspects: crashes are counted once each, over all processes.
#include "routing/SuspectTable.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("Crashes of a request are counted over all processes")
{
    const Instant start{std::chrono::hours(1)};
    SuspectTable entry;
    SuspectTable agent;
    const auto exchange = [&](Instant now) {
        for (const auto &suspect : agent.changed(now, false))
            entry.merge(suspect, now);
        for (const auto &suspect : entry.changed(now, false))
            agent.merge(suspect, now);
    };
    entry.crash(1, "a", start);
    SUBCASE("one crash that two processes report counts once, before and after they exchange")
    {
        agent.crash(1, "a", start);
        exchange(start);
        CHECK(entry.crashesOf(1, start) == 1);
        entry.crash(1, "a", start + milliseconds(300));
        agent.crash(1, "a", start + milliseconds(300));
        exchange(start + milliseconds(300));
        CHECK(agent.crashesOf(1, start) == 1);
    }
    SUBCASE("crashes of two upstreams count twice, wherever they are seen")
    {
        agent.crash(1, "b", start);
        exchange(start);
        exchange(start);
        CHECK(entry.crashesOf(1, start) == 2);
        CHECK(agent.crashesOf(1, start) == 2);
    }
    SUBCASE("a second crash of the same upstream counts once it can have come back")
    {
        entry.crash(1, "a", start + SuspectTable::SameCrash);
        CHECK(entry.crashesOf(1, start) == 2);
    }
    SUBCASE("it is forgotten in time, and passed on for a while only")
    {
        CHECK(entry.changed(start + SuspectTable::PassOn, false).empty());
        CHECK(entry.changed(start + SuspectTable::PassOn, true).size() == 1);
        const auto late = start + SuspectTable::Memory;
        CHECK(entry.crashesOf(1, late) == 0);
        CHECK(entry.changed(late, true).empty());
    }
    SUBCASE("the table is bounded")
    {
        for (uint64_t digest = 0; digest < 2 * SuspectTable::MaxSuspects; ++digest)
            entry.crash(digest, "a", start + milliseconds(digest));
        CHECK(entry.changed(start, true).size() <= SuspectTable::MaxSuspects);
    }
}
