// Predicted waits while engines have more prompts than they read.
#include "dispatch/WaitingRoom.h"

#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace tray;

namespace {

const Instant Start{std::chrono::hours(1)};

Instant at(int64_t ms)
{
    return Start + milliseconds(ms);
}

} // namespace

TEST_CASE("A request is told its wait before it is made to wait")
{
    WaitingRoom room;
    const WaitingRoom::Engines four{80, 4};
    CHECK(room.predict("m1", 3, four, Start) == Duration(milliseconds(80)));
    std::vector<WaitingRoom::Ticket> tickets;
    for (int i = 0; i < 40; ++i)
        tickets.push_back(room.enter("m1", 3, 100));
    CHECK(room.predict("m1", 3, {0, 4}, Start) == Duration(milliseconds(1000)));

    SUBCASE("more urgent requests go before them")
    {
        CHECK(room.predict("m1", 2, {0, 4}, Start) == Duration::zero());
        room.enter("m1", 2, 100);
        CHECK(room.predict("m1", 3, {0, 4}, Start) == Duration(milliseconds(1025)));
    }
    SUBCASE("one that waits already counts those before it only")
    {
        CHECK(room.predict(tickets.front(), {0, 4}, Start) == Duration::zero());
        CHECK(room.predict(tickets[4], {0, 4}, Start) == Duration(milliseconds(100)));
    }
    SUBCASE("requests for other models share no engine with them")
    {
        CHECK(room.predict("m2", 3, {0, 1}, Start) == Duration::zero());
    }
    SUBCASE("those that were sent or have left no longer count")
    {
        for (const auto ticket : tickets)
            room.leave(ticket);
        CHECK(room.size() == 0);
        CHECK(room.predict("m1", 3, {0, 4}, Start) == Duration::zero());
    }
}

TEST_CASE("The pace at which a standing queue leaves goes before the engines' nominal one")
{
    WaitingRoom room;
    for (int i = 0; i < 10; ++i)
        room.enter("m1", 3, 50);
    room.sent("m1", at(0));
    for (int i = 1; i <= 4; ++i) {
        room.sent("m1", at(200 * i));
        room.answered("m1", milliseconds(300), at(200 * i));
    }
    // Ten wait before it, each for 200 ms, and its own answer takes 300 ms.
    CHECK(room.predict("m1", 3, {50, 1}, at(800)) == Duration(milliseconds(2500)));

    SUBCASE("and is forgotten when nothing was sent for a while")
    {
        const Instant later = at(800) + WaitingRoom::MemoryTime;
        CHECK(room.predict("m1", 3, {50, 1}, later) == Duration(milliseconds(550)));
    }
}

namespace {

/// Two instances that send prompts of 100 ms to one engine, each one at a time.
class SharedEngine
{
public:
    static constexpr int ReadMs = 100;
    static constexpr int GoalMs = 1200;

    /// Each instance gets a request every so many ms.
    void play(int everyMs, int totalMs)
    {
        for (int now = 0; now < totalMs; now += 10) {
            this->finish(now);
            for (size_t i = 0; i < this->instances.size(); ++i) {
                if ((now + 50 * static_cast<int>(i)) % everyMs == 0)
                    this->arrive(i, now);
            }
            this->busyMs += this->reading.empty() ? 0 : 10;
        }
    }

    int inTime = 0;
    int late = 0;
    int refused = 0;
    int busyMs = 0;

private:
    struct Prompt
    {
        size_t instance;
        int arrivedAt;
        int sentAt;
    };

    struct Instance
    {
        WaitingRoom room;
        std::deque<std::pair<WaitingRoom::Ticket, int>> queue;
        bool outstanding = false;
    };

    void arrive(size_t index, int now)
    {
        auto &instance = this->instances[index];
        if (!instance.outstanding)
            return this->send(index, now, now);
        const auto predicted = instance.room.predict("m1", 3, {2.0 * ReadMs, 1}, at(now));
        if (predicted > milliseconds(GoalMs))
            ++this->refused;
        else
            instance.queue.emplace_back(instance.room.enter("m1", 3, ReadMs), now);
    }

    void send(size_t index, int arrivedAt, int now)
    {
        this->instances[index].outstanding = true;
        this->instances[index].room.sent("m1", at(now));
        if (this->reading.empty())
            this->doneAt = now + ReadMs;
        this->reading.push_back({index, arrivedAt, now});
    }

    void finish(int now)
    {
        if (this->reading.empty() || now < this->doneAt)
            return;
        const Prompt prompt = this->reading.front();
        this->reading.pop_front();
        this->doneAt = now + ReadMs;
        (now - prompt.arrivedAt <= GoalMs ? this->inTime : this->late) += 1;
        auto &instance = this->instances[prompt.instance];
        instance.room.answered("m1", milliseconds(now - prompt.sentAt), at(now));
        instance.outstanding = false;
        if (instance.queue.empty())
            return;
        const auto [ticket, arrivedAt] = instance.queue.front();
        instance.queue.pop_front();
        instance.room.leave(ticket);
        this->send(prompt.instance, arrivedAt, now);
    }

    std::array<Instance, 2> instances;
    std::deque<Prompt> reading;
    int doneAt = 0;
};

} // namespace

TEST_CASE("Under twice the load that an engine reads, whoever is let in is answered in time")
{
    SharedEngine engine;
    engine.play(100, 60000);
    // 600 of 1200 prompts can be read; the engine is not idle for want of a queue.
    CHECK(engine.busyMs >= 59000);
    CHECK(engine.inTime + engine.late >= 580);
    CHECK(engine.inTime >= 0.95 * (engine.inTime + engine.late));
    CHECK(engine.refused >= 580);

    SUBCASE("and under a load that it reads nobody is refused")
    {
        SharedEngine calm;
        calm.play(250, 60000);
        CHECK(calm.refused == 0);
        CHECK(calm.late == 0);
    }
}
