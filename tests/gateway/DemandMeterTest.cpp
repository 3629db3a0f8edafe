// Tests the rates that a gateway reports as its demand.
#include "gateway/DemandMeter.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("The reported rate of a steady stream of requests is its true rate")
{
    DemandMeter meter;
    Instant now{std::chrono::hours(1)};
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(100);
        meter.recordRequest("m1", 1000, 100, 50, now);
    }
    const auto report = meter.makeReport(now);
    REQUIRE(report.models_size() == 1);
    CHECK(report.models(0).requests_milli() > 9000);
    CHECK(report.models(0).requests_milli() < 11500);
    CHECK(report.models(0).work_ms() > 450);
    CHECK(report.models(0).work_ms() < 575);
    SUBCASE("a model without requests is dropped from the report")
    {
        CHECK(meter.makeReport(now + std::chrono::minutes(1)).models_size() == 0);
    }
    SUBCASE("refused requests are counted separately")
    {
        meter.recordRefusal("m2", now);
        const auto later = meter.makeReport(now);
        REQUIRE(later.models_size() == 2);
        CHECK(later.models(1).refused_milli() == 500);
    }
}
