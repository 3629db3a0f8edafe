// The shared limit on retries, which each instance enforces for itself.
#include "dispatch/SharedRetryBudget.h"

#include <doctest/doctest.h>
#include <vector>

using namespace tray;

TEST_CASE("All instances together stay within the retry limits of a window")
{
    const SharedRetryLimits limits{0.2, 50, std::chrono::seconds(10)};
    constexpr size_t Instances = 5;
    std::vector<SharedRetryBudget> budgets(Instances, SharedRetryBudget(limits));
    const Instant start{std::chrono::hours(1)};
    size_t requests = 0;
    size_t retries = 0;
    // A retry storm: each request asks for three retries.
    for (int second = 0; second < 10; ++second) {
        const Instant now = start + std::chrono::seconds(second);
        for (auto &budget : budgets) {
            for (int i = 0; i < 8; ++i) {
                budget.noteFirstAttempt(now);
                ++requests;
                for (int retry = 0; retry < 3; ++retry)
                    retries += budget.tryConsume(Instances, now) ? 1 : 0;
            }
        }
    }
    CHECK(static_cast<double>(retries) <=
          limits.ratio * static_cast<double>(requests) + limits.reserve);
    CHECK(retries > 40);

    SUBCASE("retries that leave the window no longer count")
    {
        const Instant later = start + std::chrono::seconds(30);
        CHECK(budgets.front().tryConsume(Instances, later));
    }
    SUBCASE("a single instance may use the whole reserve")
    {
        SharedRetryBudget alone(limits);
        int consumed = 0;
        while (alone.tryConsume(1, start))
            ++consumed;
        CHECK(consumed == 40);
    }
}
