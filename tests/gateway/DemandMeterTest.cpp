// Rates of demand.
#include "gateway/DemandMeter.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("A steady stream of requests shows as its rate")
{
    DemandMeter meter;
    Instant now{std::chrono::hours(1)};
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(100);
        meter.note("m1", 1000, 100, 50, now);
    }
    const auto report = meter.report(now);
    REQUIRE(report.models_size() == 1);
    CHECK(report.models(0).requests_milli() > 9000);
    CHECK(report.models(0).requests_milli() < 11500);
    CHECK(report.models(0).work_ms() > 450);
    CHECK(report.models(0).work_ms() < 575);
    SUBCASE("silence is forgotten")
    {
        CHECK(meter.report(now + std::chrono::minutes(1)).models_size() == 0);
    }
    SUBCASE("requests that found no engine are told apart")
    {
        meter.noteRefused("m2", now);
        const auto later = meter.report(now);
        REQUIRE(later.models_size() == 2);
        CHECK(later.models(1).refused_milli() == 500);
    }
}
