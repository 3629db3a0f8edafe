// The shared bound on repeats, kept by each instance for itself.
#include "dispatch/RetryAllowance.h"

#include <doctest/doctest.h>
#include <vector>

using namespace tray;

TEST_CASE("All instances together stay within the bounds of a window")
{
    const RetryBounds bounds{0.2, 50, std::chrono::seconds(10)};
    constexpr size_t Instances = 5;
    std::vector<RetryAllowance> allowances(Instances, RetryAllowance(bounds));
    const Instant start{std::chrono::hours(1)};
    size_t requests = 0;
    size_t repeats = 0;
    // A storm: each request wants three repeats.
    for (int second = 0; second < 10; ++second) {
        const Instant now = start + std::chrono::seconds(second);
        for (auto &allowance : allowances) {
            for (int i = 0; i < 8; ++i) {
                allowance.noteFirst(now);
                ++requests;
                for (int repeat = 0; repeat < 3; ++repeat)
                    repeats += allowance.take(Instances, now) ? 1 : 0;
            }
        }
    }
    CHECK(static_cast<double>(repeats) <=
          bounds.ratio * static_cast<double>(requests) + bounds.reserve);
    CHECK(repeats > 40);

    SUBCASE("the window forgets")
    {
        const Instant later = start + std::chrono::seconds(30);
        CHECK(allowances.front().take(Instances, later));
    }
    SUBCASE("an instance that is alone may use the whole reserve")
    {
        RetryAllowance alone(bounds);
        int taken = 0;
        while (alone.take(1, start))
            ++taken;
        CHECK(taken == 40);
    }
}
