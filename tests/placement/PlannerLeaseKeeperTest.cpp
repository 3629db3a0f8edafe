// Tests candidates for a lease on one object whose writes lose answers or take effect late.
#include "placement/PlannerLeaseKeeper.h"
#include "support/Property.h"

#include <array>
#include <deque>

namespace tray::test {

namespace {

using Step = std::array<uint8_t, 3>;
constexpr Duration LeaseDuration = std::chrono::seconds(5);

struct LeaseWorld
{
    struct DelayedWrite
    {
        proto::PlannerLease lease;
        uint64_t expected;
    };

    LeaseWorld()
    {
        for (const char *name : {"a", "b", "c"})
            this->candidates.emplace_back(name, LeaseDuration, [this] { return ++this->nonce; });
    }

    Result<uint64_t> write(const proto::PlannerLease &lease, uint64_t expected)
    {
        if (expected != this->version)
            return Error{ErrorKind::VersionConflict, "", 0};
        this->stored = lease;
        return ++this->version;
    }

    void runRound(size_t index, uint8_t fault)
    {
        PlannerLeaseKeeper &candidate = this->candidates[index % 3];
        if (candidate.shouldRead(this->now))
            candidate.onRead(this->stored, this->version, this->now);
        const auto lease = candidate.prepareWrite(this->now);
        if (!lease)
            return;
        const uint64_t expected = candidate.version();
        Result<uint64_t> result = Error{ErrorKind::OutcomeUnknown, "", 0};
        if (fault % 8 == 0)
            this->delayedWrites.push_back({*lease, expected});
        else if (fault % 8 == 1)
            this->write(*lease, expected);
        else if (fault % 8 != 2)
            result = this->write(*lease, expected);
        candidate.onWritten(result, this->now);
    }

    size_t holders() const
    {
        size_t count = 0;
        for (const PlannerLeaseKeeper &candidate : this->candidates)
            count += candidate.isHolder(this->now) ? 1 : 0;
        return count;
    }

    Instant now{std::chrono::hours(1)};
    std::deque<PlannerLeaseKeeper> candidates;
    proto::PlannerLease stored;
    uint64_t version = 0;
    uint64_t nonce = 0;
    std::deque<DelayedWrite> delayedWrites;
};

} // namespace

// Guards against two concurrent planners, which would undo each other's moves.
TEST_CASE("At most one candidate holds the lease, and a remaining candidate takes it over")
{
    checkProperty("one lease holder", 51, 2000, [](const std::vector<Step> &steps) {
        LeaseWorld world;
        for (const Step &step : steps) {
            if (step[0] % 4 == 0 && !world.delayedWrites.empty()) {
                world.write(world.delayedWrites.front().lease,
                            world.delayedWrites.front().expected);
                world.delayedWrites.pop_front();
            } else if (step[0] % 4 == 1) {
                world.now += milliseconds(step[1] * 30);
            } else {
                world.runRound(step[1], step[2]);
            }
            RC_ASSERT(world.holders() <= 1u);
        }
        // A candidate that continues alone acquires the lease after the others have stopped.
        world.delayedWrites.clear();
        for (int i = 0; i < 15; ++i) {
            world.now += std::chrono::seconds(1);
            world.runRound(0, 3);
        }
        RC_ASSERT(world.candidates[0].isHolder(world.now));
    });
}

} // namespace tray::test
