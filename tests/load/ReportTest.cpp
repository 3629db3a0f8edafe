// Load reports and classification of answers. Guards against a report that counts late or
// incomplete answers as attained, or that hides delays of the sender.
#include "load/ReportBuilder.h"

#include "config/SettingsReader.h"
#include "load/ReportText.h"
#include "load/RequestSender.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

constexpr const char *ScenarioText = R"(
[load]
duration_s = 2
[entry.a]
address = 127.0.0.1:1
[client_account.shop]
credential = key
tier = gold
[flow.desk]
client_account = shop
models = advice
stream = true
expectation_ms = 100
first_token_ms = 50
)";

Scenario makeScenario()
{
    proto::LoadSettings settings;
    applyDefaults(settings);
    settings.mutable_load()->set_duration_s(2);
    settings.mutable_load()->set_accelerators(4);
    return value(readScenario(settings.load(), ScenarioText, "test"));
}

Sample makeSample(int intendedMs, int latencyMs, bool answered)
{
    Sample sample;
    sample.flow = "desk";
    sample.intended = milliseconds(intendedMs);
    sample.sent = sample.intended;
    sample.done = sample.intended + milliseconds(latencyMs);
    sample.firstToken = sample.intended + milliseconds(latencyMs / 4);
    sample.answered = answered;
    sample.errorCode = answered ? "" : "overloaded";
    sample.ran = Ran::No;
    return sample;
}

} // namespace

TEST_CASE("A report counts requests by their outcome for the client")
{
    auto scenario = makeScenario();
    std::vector<Sample> samples = {makeSample(100, 80, true), makeSample(200, 120, true),
                                   makeSample(1300, 5, false), makeSample(1400, 90, true)};
    samples[3].firstToken = samples[3].intended + milliseconds(60);
    SUBCASE(
        "late answers and late first tokens are not attained; failures are counted by error code")
    {
        const auto report = buildReport(scenario, samples, {{"moves", 3}}, {{"moves", 5}});
        CHECK(report.total().sent() == 4);
        CHECK(report.total().answered() == 3);
        CHECK(report.total().attained() == 1);
        CHECK(report.attained_per_accelerator() == 0.25);
        CHECK(report.total().failures().at("overloaded") == 1);
        CHECK(report.total().ran().at("no") == 1);
        CHECK(report.counters().at("moves") == 2);
        CHECK(report.tiers(0).name() == "gold");
        REQUIRE(report.intervals_size() == 2);
        CHECK(report.intervals(0).attainment_by_tier().at("gold") == 0.5);
        CHECK(report.total().latency().p50_ms() == doctest::Approx(90).epsilon(0.02));
    }
    SUBCASE(
        "latency is measured from the intended time, so that a late sender does not hide a delay")
    {
        samples = {makeSample(0, 80, true)};
        samples[0].sent = milliseconds(70);
        const auto report = buildReport(scenario, samples, {}, {});
        CHECK(report.total().latency().max_ms() == 80);
        CHECK(report.send_lag_p99_ms() == 70);
    }
    SUBCASE("samples of the warm-up are counted in the time series only")
    {
        scenario.load.set_warm_up_s(1);
        const auto report = buildReport(scenario, samples, {}, {});
        CHECK(report.total().sent() == 2);
        CHECK(report.intervals_size() == 2);
    }
    SUBCASE("the report is formatted as table, JSON and SVG")
    {
        const auto report = buildReport(scenario, samples, {}, {});
        CHECK(reportTable(report).find("tier gold") != std::string::npos);
        CHECK(reportJson(report).find("\"attained\": \"1\"") != std::string::npos);
        CHECK(reportSvg(report).find("<polyline") != std::string::npos);
    }
}

TEST_CASE("Answers are classified by their content")
{
    Sample sample;
    SUBCASE("an error answer yields its code and whether the request was executed")
    {
        recordErrorAnswer(503,
                          R"({"error":{"message":"m","type":"t","code":"draining",)"
                          R"("param":null,"ran":"no"}})",
                          sample);
        CHECK(sample.errorCode == "draining");
        CHECK(sample.ran == Ran::No);
    }
    SUBCASE("an answer without an error body yields its status, and execution is unknown")
    {
        recordErrorAnswer(502, "bad gateway", sample);
        CHECK(sample.errorCode == "http_502");
        CHECK(sample.ran == Ran::Unknown);
    }
    SUBCASE("a stream without its end marker has failed")
    {
        recordStreamResult("data: {}\n\n", sample);
        CHECK(!sample.answered);
        recordStreamResult("data: {}\n\ndata: [DONE]\n\n", sample);
        CHECK(sample.answered);
    }
    SUBCASE("a stream that contains an error has failed")
    {
        recordStreamResult(
            "data: {}\n\ndata: {\"error\":{\"code\":\"stream_broken\",\"ran\":\"yes\"}}"
            "\n\ndata: [DONE]\n\n",
            sample);
        CHECK(!sample.answered);
        CHECK(sample.errorCode == "stream_broken");
        CHECK(sample.ran == Ran::Yes);
    }
}

TEST_CASE("Counters are summed over label values")
{
    const std::string page = "# TYPE loads counter\nloads{kind=\"model\"} 3\nloads{kind=\"a\"} 4\n"
                             "loads_total 9\nloads 1\n";
    CHECK(sumMetric(page, "loads") == 8);
    CHECK(sumMetric(page, "loads_total") == 9);
    CHECK(sumMetric(page, "load") == 0);
}

TEST_CASE("A scenario with inconsistent sections or invalid values is rejected")
{
    const auto scenario = makeScenario();
    CHECK(scenario.flows.at("desk").flow().first_token_ms() == 50);
    std::string text = ScenarioText;
    SUBCASE("a flow with an unknown client account")
    {
        text += "[flow.other]\nclient_account = nobody\nmodels = advice\n";
    }
    SUBCASE("a flow without a model")
    {
        text += "[flow.other]\nclient_account = shop\n";
    }
    SUBCASE("a value out of range")
    {
        text += "[flow.other]\nclient_account = shop\nmodels = advice\nrate = -1\n";
    }
    CHECK(!isOk(readScenario(scenario.load, text, "test")));
}
