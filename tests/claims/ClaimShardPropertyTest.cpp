// Several owners of one claim shard against an object API with faults.
#include "claims/ClaimWorld.h"
#include "support/Property.h"

#include <array>

namespace tray::test {

namespace {

using Step = std::array<uint8_t, 3>;

void run(ClaimWorld &world, const Step &step)
{
    const size_t owner = step[1] % 3;
    switch (step[0] % 16) {
    case 0:
    case 1:
        return world.begin(owner, step[2] % 4, step[2] < 230 ? 1 : 2);
    case 2:
        return world.repeat(owner, step[2]);
    case 3:
        return world.finish(owner, step[2], step[2] % 3 == 0 ? 100 : 20);
    case 4:
        return world.release(owner, step[2]);
    case 5:
    case 6:
        return world.endCall(owner, ClaimWorld::Fate::Done);
    case 7:
        return world.endCall(owner, ClaimWorld::Fate::LostAnswer);
    case 8:
        return world.endCall(owner, ClaimWorld::Fate::LateEffect);
    case 9:
        return world.endCall(owner, ClaimWorld::Fate::Unavailable);
    case 10:
        return world.applyLate();
    case 11:
    case 12:
        return world.tick(owner, milliseconds(step[2] * 2));
    case 13:
        return step[2] < 80 ? world.kill(owner) : world.tick(owner, milliseconds(60));
    default:
        return world.settle(owner);
    }
}

} // namespace

// Guards against running a request twice: two owners that both grant a key, a write that takes
// effect after it was given up, a takeover that misses a sealed period.
TEST_CASE("A key is granted at most once, whatever happens to owners and writes")
{
    checkProperty("claims at most once", 20261204, 3000, [](const std::vector<Step> &steps) {
        ClaimWorld world(3);
        for (const Step &step : steps)
            run(world, step);
        world.checkEnd();
        RC_ASSERT(world.violation == "");
        RC_ASSERT(world.largestObject < 1500u);
    });
}

} // namespace tray::test
