// Predicted waits while engines have more prompts than they read.
#include "dispatch/WaitingRoom.h"

#include <deque>
#include <doctest/doctest.h>
#include <vector>

using namespace tray;

TEST_CASE("A request is told its wait before it is made to wait")
{
    WaitingRoom room;
    CHECK(room.predict("m1", 3, 80, 4) == Duration(milliseconds(80)));
    std::vector<WaitingRoom::Ticket> tickets;
    for (int i = 0; i < 40; ++i)
        tickets.push_back(room.enter("m1", 3, 100));
    CHECK(room.predict("m1", 3, 0, 4) == Duration(milliseconds(1000)));

    SUBCASE("more urgent requests go before them")
    {
        CHECK(room.predict("m1", 2, 0, 4) == Duration::zero());
        room.enter("m1", 2, 100);
        CHECK(room.predict("m1", 3, 0, 4) == Duration(milliseconds(1025)));
    }
    SUBCASE("requests for other models share no engine with them")
    {
        CHECK(room.predict("m2", 3, 0, 1) == Duration::zero());
    }
    SUBCASE("those that were sent or have left no longer count")
    {
        for (const auto ticket : tickets)
            room.leave(ticket);
        CHECK(room.size() == 0);
        CHECK(room.predict("m1", 3, 0, 4) == Duration::zero());
    }
}

TEST_CASE("Under twice the load that an engine reads, callers wait within their patience")
{
    // Prompts of 100 ms arrive every 50 ms at one engine; callers wait 3 s.
    const Duration patience = std::chrono::seconds(3);
    WaitingRoom room;
    std::deque<std::pair<WaitingRoom::Ticket, Duration>> queue;
    int refused = 0;
    int served = 0;
    Duration longest{};
    for (int tick = 0; tick < 1200; ++tick) {
        const Duration now = tick * milliseconds(50);
        if (tick % 2 == 1 && !queue.empty()) {
            room.leave(queue.front().first);
            longest = std::max(longest, now - queue.front().second);
            queue.pop_front();
            ++served;
        }
        if (room.predict("m1", 3, 100, 1) > patience)
            ++refused;
        else
            queue.emplace_back(room.enter("m1", 3, 100), now);
    }
    // The engine is never idle, nobody waits in vain, and the others hear at once.
    CHECK(served >= 598);
    CHECK(longest <= patience);
    CHECK(refused > 500);
    CHECK(refused + served + static_cast<int>(queue.size()) == 1200);
}
