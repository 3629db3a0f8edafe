// Tests the rates that a gateway reports as its demand.
#include "gateway/DemandMeter.h"
#include "fleet/DatagramPort.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

FleetConfig makeConfig(const std::vector<std::string> &models)
{
    auto engine = std::make_shared<EngineSpec>();
    for (const auto &name : models)
        engine->models.push_back({.name = name});
    FleetConfig config;
    config.services.push_back({.name = "llm", .engine = engine});
    return config;
}

} // namespace

TEST_CASE("A caller's model that the configuration does not name keeps no demand from the planner")
{
    DemandMeter meter;
    meter.handleConfig(makeConfig({"m1"}));
    const Instant now{std::chrono::hours(1)};
    meter.recordRequest("m1", 1000, 100, 50, now);
    SUBCASE("one that no datagram can hold")
    {
        meter.recordRequest("\xff", 1000, 100, 50, now);
        meter.recordRefusal("\xfe", now);
        meter.recordWaitingContinuation("llm", "\xfd", "v1", now);
    }
    SUBCASE("so many that no datagram has room for them")
    {
        for (int i = 0; i < 2000; ++i)
            meter.recordRequest("unknown-" + std::to_string(i), 1000, 100, 50, now);
    }
    proto::Datagram datagram;
    *datagram.mutable_demand() = meter.makeReport(now);
    const std::string bytes = datagram.SerializeAsString();
    CHECK(bytes.size() <= DatagramPort::MaxBytes);
    proto::Datagram received;
    REQUIRE(received.ParseFromString(bytes));
    REQUIRE(received.demand().models_size() == 1);
    CHECK(received.demand().models(0).model() == "m1");

    SUBCASE("nor does one that a new configuration drops")
    {
        meter.handleConfig(makeConfig({"m2"}));
        CHECK(meter.makeReport(now).models_size() == 0);
    }
}

TEST_CASE("The reported rate of a steady stream of requests is its true rate")
{
    DemandMeter meter;
    meter.handleConfig(makeConfig({"m1", "m2"}));
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

TEST_CASE("A gateway reports the models that continuations wait for, by service and version")
{
    DemandMeter meter;
    std::vector<std::string> models{"m1"};
    for (int i = 0; i < 200; ++i)
        models.push_back("n" + std::to_string(i));
    meter.handleConfig(makeConfig(models));
    const Instant now{std::chrono::hours(1)};
    meter.recordWaitingContinuation("llm", "m1", "v1", now);
    meter.recordWaitingContinuation("llm", "m1", "v1", now + milliseconds(100));
    const auto report = meter.makeReport(now + milliseconds(100));
    REQUIRE(report.continuations_size() == 1);
    CHECK(report.continuations(0).service() == "llm");
    CHECK(report.continuations(0).model() == "m1");
    CHECK(report.continuations(0).software_version() == "v1");
    CHECK(report.models_size() == 0);

    SUBCASE("until some seconds after the last one has waited")
    {
        const Instant end = now + milliseconds(100) + DemandMeter::ContinuationLifetime;
        CHECK(meter.makeReport(end - milliseconds(1)).continuations_size() == 1);
        CHECK(meter.makeReport(end).continuations_size() == 0);
    }
    SUBCASE("apart for each version")
    {
        meter.recordWaitingContinuation("llm", "m1", "v2", now);
        CHECK(meter.makeReport(now).continuations_size() == 2);
    }
    SUBCASE("and only the latest ones of very many")
    {
        for (int i = 0; i < 200; ++i)
            meter.recordWaitingContinuation("llm", "n" + std::to_string(i), "v1",
                                            now + milliseconds(200 + i));
        const auto later = meter.makeReport(now + milliseconds(400));
        CHECK(later.continuations_size() == static_cast<int>(DemandMeter::MaxContinuations));
        for (const auto &row : later.continuations())
            CHECK(std::stoi(row.model().substr(1)) >=
                  200 - static_cast<int>(DemandMeter::MaxContinuations));
    }
}
