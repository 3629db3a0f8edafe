// Tests admission control: order, refusals and memory.
#include "admission/AdmissionQueue.h"
#include "support/Property.h"

using namespace tray;
using namespace tray::test;

namespace {

uint64_t randomInRange(uint64_t low, uint64_t high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint64_t>(low, high));
}

/// Queue with memory whose use is counted independently of the queue.
struct QueueFixture
{
    explicit QueueFixture(uint32_t concurrency = 4, uint64_t memory = 1000)
        : memory(memory), queue({concurrency})
    {
        this->resources.isReady = [this](const AdmissionWork &work) {
            return work.model != "absent" && (work.model != "loading" || this->loaded);
        };
        this->resources.readyAfter = [this](const AdmissionWork &work) {
            const bool never = work.model == "absent";
            return never ? std::nullopt : std::optional<Duration>(milliseconds(10));
        };
        this->resources.freeKvBytes = [this] { return this->memory - this->reserved; };
        this->resources.kvCapacityBytes = memory;
        this->resources.reserveKv = [this](uint64_t bytes) {
            if (bytes > this->memory - this->reserved)
                return false;
            this->reserved += bytes;
            return true;
        };
    }

    AdmissionWork makeWork(uint32_t rank, uint64_t kvBytes = 10, int deadlineMs = 10000)
    {
        AdmissionWork work;
        work.ticket = ++this->tickets;
        work.tierRank = rank;
        work.deadline = this->now + milliseconds(deadlineMs);
        work.model = "m";
        work.kvBytes = kvBytes;
        this->all[work.ticket] = work;
        return work;
    }

    std::optional<Error> offer(const AdmissionWork &work)
    {
        return this->queue.offer(work, this->resources, this->now);
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
    QueueFixture fixture(1);
    const auto low = fixture.makeWork(2);
    const auto late = fixture.makeWork(1, 10, 9000);
    const auto soon = fixture.makeWork(1, 10, 3000);
    for (const auto &work : {low, late, soon})
        CHECK(!fixture.offer(work));
    CHECK(fixture.start() == Tickets{soon.ticket});
    fixture.finish(soon.ticket);
    CHECK(fixture.start() == Tickets{late.ticket});

    SUBCASE("running work of a lower tier does not delay a higher tier")
    {
        const auto top = fixture.makeWork(0);
        CHECK(!fixture.offer(top));
        CHECK(fixture.start() == Tickets{top.ticket});
    }
    SUBCASE("a lower tier waits for the running work of a higher tier")
    {
        CHECK(fixture.start().empty());
        fixture.finish(late.ticket);
        CHECK(fixture.start() == Tickets{low.ticket});
    }
}

TEST_CASE("Refusals are immediate and carry an error kind and the time until a retry")
{
    QueueFixture fixture(1);
    SUBCASE("the predicted wait exceeds the time left")
    {
        for (int i = 0; i < 3; ++i)
            CHECK(!fixture.offer(fixture.makeWork(1)));
        fixture.start();
        const auto refused = fixture.offer(fixture.makeWork(1, 10, 90));
        REQUIRE(refused);
        CHECK(refused->kind == ErrorKind::Overloaded);
        CHECK(refused->retryAfterMs >= 90);
    }
    SUBCASE("the request needs more KV cache than the capacity")
    {
        CHECK(fixture.offer(fixture.makeWork(1, 1001))->kind == ErrorKind::OutOfMemory);
    }
    SUBCASE("the model will not be loaded")
    {
        auto work = fixture.makeWork(1);
        work.model = "absent";
        CHECK(fixture.offer(work)->kind == ErrorKind::NoReplica);
    }
    SUBCASE("the deadline passes while the request is queued")
    {
        CHECK(!fixture.offer(fixture.makeWork(1)));
        fixture.start();
        const auto queued = fixture.makeWork(1, 10, 3000);
        CHECK(!fixture.offer(queued));
        fixture.now += std::chrono::seconds(4);
        const auto expired = fixture.queue.expire(fixture.resources, fixture.now);
        REQUIRE(expired.size() == 1);
        CHECK(expired[0].first == queued.ticket);
        CHECK(errorAnswer(expired[0].second.kind).ran == Ran::No);
    }
}

TEST_CASE("A request that waits for its model does not block others")
{
    QueueFixture fixture(1);
    auto waiting = fixture.makeWork(0);
    waiting.model = "loading";
    CHECK(!fixture.offer(waiting));
    const auto other = fixture.makeWork(1);
    CHECK(!fixture.offer(other));
    CHECK(fixture.start() == Tickets{other.ticket});
    fixture.finish(other.ticket);
    fixture.loaded = true;
    CHECK(fixture.start() == Tickets{waiting.ticket});
}

TEST_CASE("A suspect runs alone")
{
    QueueFixture fixture(4);
    auto suspect = fixture.makeWork(1, 10, 1000);
    suspect.suspect = true;
    const auto before = fixture.makeWork(0);
    const auto after = fixture.makeWork(2);
    CHECK(!fixture.offer(before));
    CHECK(fixture.start() == Tickets{before.ticket});
    CHECK(!fixture.offer(suspect));
    CHECK(!fixture.offer(after));
    CHECK(fixture.start().empty());
    fixture.finish(before.ticket);
    CHECK(fixture.start() == Tickets{suspect.ticket});
    CHECK(!fixture.offer(fixture.makeWork(0)));
    CHECK(fixture.start().empty());
    fixture.finish(suspect.ticket);
    CHECK(fixture.start().size() == 2);
}

TEST_CASE("Admission keeps its invariants under random schedules")
{
    // Guards against memory that is reserved twice, against refusals that do not say "not run", and
    // against work that starts before ready work of a higher tier.
    checkProperty("admission", 91, 400, [] {
        QueueFixture fixture(static_cast<uint32_t>(randomInRange(1, 8)), randomInRange(50, 500));
        std::set<uint64_t> running;
        std::set<uint64_t> queued;
        const auto steps = randomInRange(10, 200);
        for (uint64_t i = 0; i < steps; ++i) {
            fixture.now += milliseconds(randomInRange(0, 50));
            const auto action = randomInRange(0, 4);
            if (action < 2) {
                auto work = fixture.makeWork(static_cast<uint32_t>(randomInRange(0, 4)),
                                             randomInRange(0, 200),
                                             static_cast<int>(randomInRange(1, 3000)));
                work.suspect = randomInRange(0, 10) == 0;
                fixture.all[work.ticket] = work;
                if (const auto refused = fixture.offer(work)) {
                    RC_ASSERT(errorAnswer(refused->kind).ran == Ran::No);
                    RC_ASSERT(refused->retryAfterMs > 0);
                } else {
                    queued.insert(work.ticket);
                }
            } else if (action == 2 && !running.empty()) {
                const auto place =
                    std::next(running.begin(), static_cast<long>(randomInRange(0, running.size())));
                fixture.finish(*place);
                running.erase(place);
            }
            for (const auto &[ticket, reason] :
                 fixture.queue.expire(fixture.resources, fixture.now)) {
                RC_ASSERT(queued.erase(ticket) == 1);
                RC_ASSERT(errorAnswer(reason.kind).ran == Ran::No);
            }
            for (const uint64_t ticket : fixture.start()) {
                RC_ASSERT(queued.erase(ticket) == 1);
                running.insert(ticket);
                for (const uint64_t other : queued)
                    RC_ASSERT(fixture.all[other].tierRank >= fixture.all[ticket].tierRank);
            }
            RC_ASSERT(fixture.queue.running() == running.size());
            RC_ASSERT(fixture.queue.queued() == queued.size());
            RC_ASSERT(fixture.reserved <= fixture.memory);
            const auto suspects = std::count_if(running.begin(), running.end(),
                                                [&](uint64_t t) { return fixture.all[t].suspect; });
            RC_ASSERT(suspects == 0 || running.size() == 1);
            // Running work of lower tiers alone never makes the highest tier wait for a slot.
            const auto isTop = [&](uint64_t t) { return fixture.all[t].tierRank == 0; };
            const auto topRunning = std::count_if(running.begin(), running.end(), isTop);
            for (const uint64_t waiting : queued) {
                const auto &work = fixture.all[waiting];
                if (!isTop(waiting) || work.suspect || suspects > 0)
                    continue;
                const bool fits = work.kvBytes <= fixture.memory - fixture.reserved;
                const bool behindTop = std::any_of(queued.begin(), queued.end(), [&](uint64_t t) {
                    return t != waiting && isTop(t);
                });
                RC_ASSERT(!fits || behindTop ||
                          topRunning >= static_cast<long>(fixture.queue.concurrency()));
            }
        }
    });
}
