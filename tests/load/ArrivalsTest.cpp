// Arrival process of a flow. Guards against a load that differs from its scenario in rate, bursts
// or popularity of the models, and against runs that cannot be repeated.
#include "load/Arrivals.h"

#include "support/Property.h"

#include <map>

using namespace tray;

namespace {

proto::LoadFlowSection makeFlow(double rate)
{
    proto::LoadFlowSection flow;
    flow.set_rate(rate);
    flow.set_burst_factor(1);
    flow.set_stop_s(86400);
    return flow;
}

/// Returns the number of arrivals in each of the first seconds.
std::vector<int> countBySecond(Arrivals arrivals, size_t seconds)
{
    std::vector<int> counts(seconds, 0);
    while (true) {
        const auto second = std::chrono::duration<double>(arrivals.next()).count();
        if (second >= static_cast<double>(seconds))
            return counts;
        ++counts[static_cast<size_t>(second)];
    }
}

} // namespace

TEST_CASE("Requests of a flow arrive at its rate")
{
    SUBCASE("the mean over 100 s equals the rate")
    {
        int sum = 0;
        for (const int count : countBySecond(Arrivals(makeFlow(50), 7), 100))
            sum += count;
        CHECK(sum == doctest::Approx(5000).epsilon(0.05));
    }
    SUBCASE("a burst multiplies the rate during the burst only")
    {
        auto flow = makeFlow(50);
        flow.set_burst_factor(10);
        flow.set_burst_every_s(10);
        flow.set_burst_length_s(2);
        const auto counts = countBySecond(Arrivals(flow, 7), 20);
        CHECK(counts[5] < 100);
        CHECK(counts[10] > 350);
        CHECK(counts[11] > 350);
        CHECK(counts[13] < 100);
    }
    SUBCASE("a flow ends at its limit or at its stop time")
    {
        auto flow = makeFlow(1000);
        flow.set_limit(3);
        Arrivals limited(flow, 7);
        for (int i = 0; i < 3; ++i)
            CHECK(limited.next() < std::chrono::seconds(10));
        CHECK(limited.next() == Duration::max());
        flow.set_limit(0);
        flow.set_start_s(1);
        flow.set_stop_s(1.5);
        Arrivals stopped(flow, 7);
        for (Duration at = stopped.next(); at != Duration::max(); at = stopped.next()) {
            CHECK(at >= std::chrono::seconds(1));
            CHECK(at < milliseconds(1500));
        }
    }
}

TEST_CASE("Models are chosen by popularity")
{
    auto flow = makeFlow(1);
    flow.set_models("a, b, c");
    flow.set_skew(2);
    std::map<std::string, int> counts;
    Arrivals arrivals(flow, 7);
    for (int i = 0; i < 1000; ++i)
        ++counts[arrivals.chooseModel({})];
    CHECK(counts["a"] > 650);
    CHECK(counts["b"] > counts["c"]);
    SUBCASE("rotation shifts the popularity to the next model")
    {
        flow.set_rotate_s(10);
        Arrivals rotated(flow, 7);
        std::map<std::string, int> later;
        for (int i = 0; i < 1000; ++i)
            ++later[rotated.chooseModel(std::chrono::seconds(15))];
        CHECK(later["b"] > 650);
    }
}

TEST_CASE("The same seed gives the same arrivals")
{
    // Guards against a run that cannot be repeated, and against intended times that decrease.
    tray::test::checkProperty("arrivals are reproducible and do not decrease", 20261204, 50,
                              [](uint64_t seed, uint8_t rate) {
                                  Arrivals first(makeFlow(rate + 1), seed);
                                  Arrivals second(makeFlow(rate + 1), seed);
                                  Duration last{};
                                  for (int i = 0; i < 200; ++i) {
                                      const Duration at = first.next();
                                      RC_ASSERT(at == second.next());
                                      RC_ASSERT(at >= last);
                                      last = at;
                                  }
                              });
}
