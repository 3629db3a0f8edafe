// Admission by tier and deadline.
#include "admission/AdmissionQueue.h"
#include "support/Property.h"

using namespace tray;
using namespace tray::test;

namespace {

uint64_t pick(uint64_t low, uint64_t high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint64_t>(low, high));
}

/// Queue with memory that is counted apart from it.
struct Bench
{
    explicit Bench(uint32_t concurrency = 4, uint64_t memory = 1000)
        : memory(memory), queue({concurrency})
    {
        this->resources.isReady = [this](const AdmissionWork &work) {
            return work.model != "absent" && (work.model != "loading" || this->loaded);
        };
        this->resources.readyAfter = [this](const AdmissionWork &work) {
            const bool never = work.model == "absent";
            return never ? std::nullopt : std::optional<Duration>(milliseconds(10));
        };
        this->resources.kvFree = [this] { return this->memory - this->reserved; };
        this->resources.kvMost = memory;
        this->resources.reserveKv = [this](uint64_t bytes) {
            if (bytes > this->memory - this->reserved)
                return false;
            this->reserved += bytes;
            return true;
        };
    }

    AdmissionWork work(uint32_t rank, uint64_t kvBytes = 10, int deadlineMs = 10000)
    {
        AdmissionWork made;
        made.ticket = ++this->tickets;
        made.tierRank = rank;
        made.deadline = this->now + milliseconds(deadlineMs);
        made.model = "m";
        made.kvBytes = kvBytes;
        this->all[made.ticket] = made;
        return made;
    }

    std::optional<Error> offer(const AdmissionWork &made)
    {
        return this->queue.offer(made, this->resources, this->now);
    }

    std::vector<uint64_t> start() { return this->queue.start(this->resources, this->now); }

    void finish(uint64_t ticket)
    {
        this->reserved -= this->all.at(ticket).kvBytes;
        this->queue.finish(ticket, this->now, 0);
    }

    uint64_t memory;
    uint64_t reserved = 0;
    uint64_t tickets = 0;
    bool loaded = false;
    Instant now{std::chrono::hours(1)};
    AdmissionQueue queue;
    AdmissionResources resources;
    std::map<uint64_t, AdmissionWork> all;
};

using Tickets = std::vector<uint64_t>;

} // namespace

TEST_CASE("Requests start by tier, then by deadline")
{
    Bench bench(1);
    const auto low = bench.work(2);
    const auto late = bench.work(1, 10, 9000);
    const auto soon = bench.work(1, 10, 3000);
    for (const auto &work : {low, late, soon})
        CHECK(!bench.offer(work));
    CHECK(bench.start() == Tickets{soon.ticket});
    bench.finish(soon.ticket);
    CHECK(bench.start() == Tickets{late.ticket});

    SUBCASE("running work of a lower tier does not hold up a higher tier")
    {
        const auto top = bench.work(0);
        CHECK(!bench.offer(top));
        CHECK(bench.start() == Tickets{top.ticket});
    }
    SUBCASE("a lower tier waits for the running work of a higher tier")
    {
        CHECK(bench.start().empty());
        bench.finish(late.ticket);
        CHECK(bench.start() == Tickets{low.ticket});
    }
}

TEST_CASE("Refusals come at once, with a kind and a time to retry")
{
    Bench bench(1);
    SUBCASE("the predicted wait exceeds the time left")
    {
        for (int i = 0; i < 3; ++i)
            CHECK(!bench.offer(bench.work(1)));
        bench.start();
        const auto refused = bench.offer(bench.work(1, 10, 90));
        REQUIRE(refused);
        CHECK(refused->kind == ErrorKind::Overloaded);
        CHECK(refused->retryAfterMs >= 90);
    }
    SUBCASE("more KV cache than there is")
    {
        CHECK(bench.offer(bench.work(1, 1001))->kind == ErrorKind::OutOfMemory);
    }
    SUBCASE("a model that will not come")
    {
        auto work = bench.work(1);
        work.model = "absent";
        CHECK(bench.offer(work)->kind == ErrorKind::NoReplica);
    }
    SUBCASE("a deadline that passes in the queue")
    {
        CHECK(!bench.offer(bench.work(1)));
        bench.start();
        const auto queued = bench.work(1, 10, 3000);
        CHECK(!bench.offer(queued));
        bench.now += std::chrono::seconds(4);
        const auto expired = bench.queue.expire(bench.resources, bench.now);
        REQUIRE(expired.size() == 1);
        CHECK(expired[0].first == queued.ticket);
        CHECK(errorAnswer(expired[0].second.kind).ran == Ran::No);
    }
}

TEST_CASE("A request that waits for its model holds up nothing")
{
    Bench bench(1);
    auto waiting = bench.work(0);
    waiting.model = "loading";
    CHECK(!bench.offer(waiting));
    const auto other = bench.work(1);
    CHECK(!bench.offer(other));
    CHECK(bench.start() == Tickets{other.ticket});
    bench.finish(other.ticket);
    bench.loaded = true;
    CHECK(bench.start() == Tickets{waiting.ticket});
}

TEST_CASE("A suspect runs alone")
{
    Bench bench(4);
    auto suspect = bench.work(1, 10, 1000);
    suspect.suspect = true;
    const auto before = bench.work(0);
    const auto after = bench.work(2);
    CHECK(!bench.offer(before));
    CHECK(bench.start() == Tickets{before.ticket});
    CHECK(!bench.offer(suspect));
    CHECK(!bench.offer(after));
    CHECK(bench.start().empty());
    bench.finish(before.ticket);
    CHECK(bench.start() == Tickets{suspect.ticket});
    CHECK(!bench.offer(bench.work(0)));
    CHECK(bench.start().empty());
    bench.finish(suspect.ticket);
    CHECK(bench.start().size() == 2);
}

TEST_CASE("Random schedules keep the promises of admission")
{
    // Guards against memory promised twice, against refusals that do not say "not run", and against
    // work that starts while startable work of a higher tier waits.
    checkProperty("admission", 91, 400, [] {
        Bench bench(static_cast<uint32_t>(pick(1, 8)), pick(50, 500));
        std::set<uint64_t> running;
        std::set<uint64_t> queued;
        const auto steps = pick(10, 200);
        for (uint64_t i = 0; i < steps; ++i) {
            bench.now += milliseconds(pick(0, 50));
            const auto action = pick(0, 4);
            if (action < 2) {
                auto work = bench.work(static_cast<uint32_t>(pick(0, 4)), pick(0, 200),
                                       static_cast<int>(pick(1, 3000)));
                work.suspect = pick(0, 10) == 0;
                bench.all[work.ticket] = work;
                if (const auto refused = bench.offer(work)) {
                    RC_ASSERT(errorAnswer(refused->kind).ran == Ran::No);
                    RC_ASSERT(refused->retryAfterMs > 0);
                } else {
                    queued.insert(work.ticket);
                }
            } else if (action == 2 && !running.empty()) {
                const auto place =
                    std::next(running.begin(), static_cast<long>(pick(0, running.size())));
                bench.finish(*place);
                running.erase(place);
            }
            for (const auto &[ticket, reason] : bench.queue.expire(bench.resources, bench.now)) {
                RC_ASSERT(queued.erase(ticket) == 1);
                RC_ASSERT(errorAnswer(reason.kind).ran == Ran::No);
            }
            for (const uint64_t ticket : bench.start()) {
                RC_ASSERT(queued.erase(ticket) == 1);
                running.insert(ticket);
                for (const uint64_t other : queued)
                    RC_ASSERT(bench.all[other].tierRank >= bench.all[ticket].tierRank);
            }
            RC_ASSERT(bench.queue.running() == running.size());
            RC_ASSERT(bench.queue.queued() == queued.size());
            RC_ASSERT(bench.reserved <= bench.memory);
            const auto suspects = std::count_if(running.begin(), running.end(),
                                                [&](uint64_t t) { return bench.all[t].suspect; });
            RC_ASSERT(suspects == 0 || running.size() == 1);
            // Lower tiers alone never keep the highest tier waiting for a slot.
            const auto isTop = [&](uint64_t t) { return bench.all[t].tierRank == 0; };
            const auto topRunning = std::count_if(running.begin(), running.end(), isTop);
            for (const uint64_t waiting : queued) {
                const auto &work = bench.all[waiting];
                if (!isTop(waiting) || work.suspect || suspects > 0)
                    continue;
                const bool fits = work.kvBytes <= bench.memory - bench.reserved;
                const bool behindTop = std::any_of(queued.begin(), queued.end(), [&](uint64_t t) {
                    return t != waiting && isTop(t);
                });
                RC_ASSERT(!fits || behindTop ||
                          topRunning >= static_cast<long>(bench.queue.concurrency()));
            }
        }
    });
}
