// Predicted waits while callers send more prompts than the engines can prefill.
#include "dispatch/PrefillQueue.h"

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

TEST_CASE("The wait of a request is predicted before it is queued")
{
    PrefillQueue prefillQueue;
    const PrefillQueue::EngineEstimate four{80, 4};
    CHECK(prefillQueue.predictFirstAnswer("m1", 3, four, Start) == Duration(milliseconds(80)));
    std::vector<PrefillQueue::Ticket> tickets;
    for (int i = 0; i < 40; ++i)
        tickets.push_back(prefillQueue.enqueue("m1", 3, 100));
    CHECK(prefillQueue.predictFirstAnswer("m1", 3, {0, 4}, Start) == Duration(milliseconds(1000)));

    SUBCASE("more urgent requests go ahead of them")
    {
        CHECK(prefillQueue.predictFirstAnswer("m1", 2, {0, 4}, Start) == Duration::zero());
        prefillQueue.enqueue("m1", 2, 100);
        CHECK(prefillQueue.predictFirstAnswer("m1", 3, {0, 4}, Start) ==
              Duration(milliseconds(1025)));
    }
    SUBCASE("the prediction for a queued request counts only those ahead of it")
    {
        CHECK(prefillQueue.predictFirstAnswer(tickets.front(), {0, 4}, Start) == Duration::zero());
        CHECK(prefillQueue.predictFirstAnswer(tickets[4], {0, 4}, Start) ==
              Duration(milliseconds(100)));
    }
    SUBCASE("requests for other models do not count")
    {
        CHECK(prefillQueue.predictFirstAnswer("m2", 3, {0, 1}, Start) == Duration::zero());
    }
    SUBCASE("requests that were removed no longer count")
    {
        for (const auto ticket : tickets)
            prefillQueue.remove(ticket);
        CHECK(prefillQueue.size() == 0);
        CHECK(prefillQueue.predictFirstAnswer("m1", 3, {0, 4}, Start) == Duration::zero());
    }
}

TEST_CASE("The measured rate of a queue overrides the nominal rate of the engines")
{
    PrefillQueue prefillQueue;
    for (int i = 0; i < 10; ++i)
        prefillQueue.enqueue("m1", 3, 50);
    prefillQueue.noteSent("m1", at(0));
    for (int i = 1; i <= 4; ++i) {
        prefillQueue.noteSent("m1", at(200 * i));
        prefillQueue.noteFirstAnswer("m1", milliseconds(300), at(200 * i));
    }
    // Ten prompts are ahead of it, one leaves every 200 ms, and its own answer takes 300 ms.
    CHECK(prefillQueue.predictFirstAnswer("m1", 3, {50, 1}, at(800)) ==
          Duration(milliseconds(2500)));

    SUBCASE("until no prompt has been sent for a while")
    {
        const Instant later = at(800) + PrefillQueue::SampleLifetime;
        CHECK(prefillQueue.predictFirstAnswer("m1", 3, {50, 1}, later) ==
              Duration(milliseconds(550)));
    }
}

namespace {

/// Two instances that send prompts of 100 ms prefill time to one engine, each one at a time.
class SharedEngine
{
public:
    static constexpr int PrefillMs = 100;
    static constexpr int GoalMs = 1200;

    /// Each instance gets a request every everyMs.
    void run(int everyMs, int totalMs)
    {
        for (int now = 0; now < totalMs; now += 10) {
            this->finish(now);
            for (size_t i = 0; i < this->instances.size(); ++i) {
                if ((now + 50 * static_cast<int>(i)) % everyMs == 0)
                    this->arrive(i, now);
            }
            this->busyMs += this->prefilling.empty() ? 0 : 10;
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
        PrefillQueue prefillQueue;
        std::deque<std::pair<PrefillQueue::Ticket, int>> queue;
        bool outstanding = false;
    };

    void arrive(size_t index, int now)
    {
        auto &instance = this->instances[index];
        if (!instance.outstanding)
            return this->send(index, now, now);
        const auto predicted =
            instance.prefillQueue.predictFirstAnswer("m1", 3, {2.0 * PrefillMs, 1}, at(now));
        if (predicted > milliseconds(GoalMs))
            ++this->refused;
        else
            instance.queue.emplace_back(instance.prefillQueue.enqueue("m1", 3, PrefillMs), now);
    }

    void send(size_t index, int arrivedAt, int now)
    {
        this->instances[index].outstanding = true;
        this->instances[index].prefillQueue.noteSent("m1", at(now));
        if (this->prefilling.empty())
            this->doneAt = now + PrefillMs;
        this->prefilling.push_back({index, arrivedAt, now});
    }

    void finish(int now)
    {
        if (this->prefilling.empty() || now < this->doneAt)
            return;
        const Prompt prompt = this->prefilling.front();
        this->prefilling.pop_front();
        this->doneAt = now + PrefillMs;
        (now - prompt.arrivedAt <= GoalMs ? this->inTime : this->late) += 1;
        auto &instance = this->instances[prompt.instance];
        instance.prefillQueue.noteFirstAnswer("m1", milliseconds(now - prompt.sentAt), at(now));
        instance.outstanding = false;
        if (instance.queue.empty())
            return;
        const auto [ticket, arrivedAt] = instance.queue.front();
        instance.queue.pop_front();
        instance.prefillQueue.remove(ticket);
        this->send(prompt.instance, arrivedAt, now);
    }

    std::array<Instance, 2> instances;
    std::deque<Prompt> prefilling;
    int doneAt = 0;
};

} // namespace

TEST_CASE("At twice the load that an engine can prefill, admitted requests are answered in time")
{
    SharedEngine engine;
    engine.run(100, 60000);
    // 600 of 1200 prompts can be prefilled; the engine is not idle for lack of queued prompts.
    CHECK(engine.busyMs >= 59000);
    CHECK(engine.inTime + engine.late >= 580);
    CHECK(engine.inTime >= 0.95 * (engine.inTime + engine.late));
    CHECK(engine.refused >= 580);

    SUBCASE("and at a load that it can prefill no request is refused")
    {
        SharedEngine calm;
        calm.run(250, 60000);
        CHECK(calm.refused == 0);
        CHECK(calm.late == 0);
    }
}

TEST_CASE("With client accounts, an account that asks for much waits behind the others")
{
    PrefillQueue prefillQueue;
    const auto enqueue = [&](uint64_t account, int priority = 3, int64_t arrivedMs = 0) {
        return prefillQueue.enqueue("m1", priority, 100,
                                    {{account, at(arrivedMs), milliseconds(500)}});
    };
    std::vector<PrefillQueue::Ticket> busy;
    for (int i = 0; i < 6; ++i)
        busy.push_back(enqueue(1));
    const auto quiet = enqueue(2);
    const auto first = [&](PrefillQueue::Ticket one, PrefillQueue::Ticket other, Instant now) {
        return prefillQueue.placeOf(one, now) < prefillQueue.placeOf(other, now);
    };
    CHECK(first(busy[0], quiet, Start));
    CHECK(first(quiet, busy[1], Start));

    SUBCASE("predictions count those that go first")
    {
        CHECK(prefillQueue.predictFirstAnswer(quiet, {0, 1}, Start) == Duration(milliseconds(100)));
        CHECK(prefillQueue.predictFirstAnswer(busy[1], {0, 1}, Start) ==
              Duration(milliseconds(200)));
        CHECK(prefillQueue.predictFirstAnswer("m1", 3, {0, 1}, Start,
                                              {{3, Start, milliseconds(500)}}) ==
              Duration(milliseconds(200)));
        CHECK(prefillQueue.predictFirstAnswer("m1", 3, {0, 1}, Start,
                                              {{1, Start, milliseconds(500)}}) ==
              Duration(milliseconds(700)));
    }
    SUBCASE("a prediction for a request that is not queued does not charge its account")
    {
        for (int i = 0; i < 5; ++i)
            prefillQueue.predictFirstAnswer("m1", 3, {0, 1}, Start,
                                            {{3, Start, milliseconds(500)}});
        CHECK(first(enqueue(3), busy[1], Start));
    }
    SUBCASE("an account is not charged for requests that were not served")
    {
        for (size_t i = 1; i < busy.size(); ++i)
            prefillQueue.remove(busy[i]);
        prefillQueue.serve(busy[0]);
        const auto earlier = enqueue(1);
        CHECK(first(earlier, enqueue(1), Start));
        prefillQueue.serve(quiet);
        CHECK(prefillQueue.size() == 2);
    }
    SUBCASE("a request served out of turn does not put later ones of other accounts behind")
    {
        prefillQueue.serve(busy[5]);
        CHECK(first(enqueue(3), busy[1], Start));
    }
    SUBCASE("priority goes before the order of the accounts")
    {
        CHECK(first(enqueue(1, 2), quiet, Start));
    }
    SUBCASE("a request that has waited improves by one level for each half of its target")
    {
        const auto urgent = enqueue(2, 2, 1000);
        CHECK(first(urgent, busy[5], at(499)));
        // Two levels after 1000 ms.
        CHECK(first(busy[5], urgent, at(1000)));
        // Requests of other accounts that have arrived since do not fall behind by that.
        const auto late = enqueue(3, 3, 1000);
        CHECK(first(late, busy[1], at(1000)));
        // Its priority is never better than the best.
        const auto best = enqueue(3, 0, 100000);
        CHECK(prefillQueue.placeOf(busy[5], at(100000)).priority == 0);
        CHECK(first(best, busy[5], at(100000)));
    }
}

TEST_CASE("Without client accounts, requests go by priority and arrival, however long they wait")
{
    PrefillQueue prefillQueue;
    const auto slow = prefillQueue.enqueue("m1", 3, 5000);
    const auto next = prefillQueue.enqueue("m1", 3, 1);
    const auto urgent = prefillQueue.enqueue("m1", 2, 1);
    const Instant now = at(100000);
    CHECK(prefillQueue.placeOf(urgent, now) < prefillQueue.placeOf(slow, now));
    CHECK(prefillQueue.placeOf(slow, now) < prefillQueue.placeOf(next, now));
}
