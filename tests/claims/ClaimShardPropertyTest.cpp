// Random sequences of requests, time steps and faults with several owners of one claim shard.
#include "claims/ClaimSimulation.h"
#include "support/Property.h"

#include <array>

namespace tray::test {

namespace {

using Step = std::array<uint8_t, 3>;

void run(ClaimSimulation &simulation, const Step &step)
{
    const size_t owner = step[1] % 3;
    switch (step[0] % 16) {
    case 0:
    case 1:
        return simulation.begin(owner, step[2] % 4, step[2] < 230 ? 1 : 2);
    case 2:
        return simulation.retryBegin(owner, step[2]);
    case 3:
        return simulation.finish(owner, step[2], step[2] % 3 == 0 ? 100 : 20);
    case 4:
        return simulation.release(owner, step[2]);
    case 5:
    case 6:
        return simulation.completeCall(owner, ClaimSimulation::CallOutcome::Done);
    case 7:
        return simulation.completeCall(owner, ClaimSimulation::CallOutcome::LostReply);
    case 8:
        return simulation.completeCall(owner, ClaimSimulation::CallOutcome::LateEffect);
    case 9:
        return simulation.completeCall(owner, ClaimSimulation::CallOutcome::Unavailable);
    case 10:
        return simulation.applyDelayedWrite();
    case 11:
    case 12:
        return simulation.advanceTime(owner, milliseconds(step[2] * 2));
    case 13:
        return step[2] < 80 ? simulation.restartOwner(owner)
                            : simulation.advanceTime(owner, milliseconds(60));
    default:
        return simulation.runUntilIdle(owner);
    }
}

} // namespace

// Guards against running a request twice: because two owners both grant a key, because a write
// takes effect after it was abandoned, or because a takeover misses a sealed period.
TEST_CASE("A key is granted at most once, whatever happens to owners and writes")
{
    checkProperty("claims at most once", 20261204, 3000, [](const std::vector<Step> &steps) {
        ClaimSimulation simulation(3);
        for (const Step &step : steps)
            run(simulation, step);
        simulation.checkFinalVerdicts();
        RC_ASSERT(simulation.violation == "");
        RC_ASSERT(simulation.largestObject < 1500u);
    });
}

} // namespace tray::test
