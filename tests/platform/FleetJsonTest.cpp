// Decoding of the platform's JSON documents: complete, incomplete, malformed and with unknown
// fields.
#include "FleetJson.h"

#include "PlatformSettings.h"
#include "net/JsonFields.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace tray;
using namespace tray::platform;

namespace {

boost::json::value parseOrFail(const std::string &text)
{
    const auto document = parseJson(text);
    REQUIRE(isOk(document));
    return value(document);
}

const std::string ConfigJson = R"({"version":7,"unknown":[1],"routes":[
    {"name":"r1","host":"a.example","path_prefix":"/x/","kind":"streaming","timeout_ms":25000,
     "goal_ms":8000,"priority":1,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,
     "gap_aim_ms":300},
    {"name":"r2","host":"a.example","path_prefix":"/y/","kind":"unsafe","timeout_ms":2000,
     "split":[{"service":"shop","weight":90},{"service":"trial","weight":10}]}],
  "services":[{"name":"llm","max_conns":370,"engine":{"slots":64,"kv_cache_tokens":136254,
     "models":[{"name":"m1","weights_mb":65099.9,"load_s":7.8,"adapters":32,"adapter_mb":12.0}],
     "weights_mb":220000.0,"adapter_slots":8,"loads_per_s":1.1}},{"name":"shop","max_conns":110}],
  "limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
     "idle_timeout_ms":15000}})";

const std::string EntryJson = R"({"service":"llm","address":"10.128.0.9:8080","zone":"z1",
  "version":"v1","slots":64,"state":"ready","cold_left_ms":0,"stage":"both",
  "models":[{"name":"m1","version":1,"adapters":["a1","a2"]}],"sequence":4,"born":1790000000000})";

const std::string SettingsJson =
    R"({"node_name":"front-1","ip":"10.1.0.38","zone":"z1","region":"r1",
  "zones":{"z1":"r1","z2":"r2"},
  "listen":{"front":"10.1.0.38:8149","readiness_addr":"10.1.0.38:8141"},
  "inner_port_range":[7380,7395],"bounds":{"grace_s":8,"budget_slack":58,
  "quota_window_s":6,"quota_overage":0.2,"quota_slack":900},"limits":{"cpu_share":0.19},
  "platform":{"address":"10.200.1.7:8142"}})";

std::string withoutField(std::string text, const std::string &field)
{
    const auto at = text.find("\"" + field + "\"");
    REQUIRE(at != std::string::npos);
    return text.replace(at, field.size() + 2, "\"gone\"");
}

} // namespace

TEST_CASE("A configuration is decoded into a FleetConfig")
{
    const auto decoded = decodeFleetConfig(parseOrFail(ConfigJson));
    REQUIRE(isOk(decoded));
    const auto &config = value(decoded);
    CHECK(config.version == 7);
    REQUIRE(config.routes.size() == 2);
    CHECK(config.routes[0].kind == RouteKind::Streaming);
    CHECK(config.routes[0].resumable);
    CHECK(config.routes[0].latencyGoal == Duration(std::chrono::seconds(8)));
    CHECK(config.routes[0].maxAttempts == 2);
    CHECK(config.routes[1].maxAttempts == 1);
    REQUIRE(config.routes[1].services.size() == 2);
    CHECK(config.routes[1].services[0].weight == 90);
    const auto *service = config.findService("llm");
    REQUIRE(service != nullptr);
    REQUIRE(service->engine);
    CHECK(service->engine->adapterSlots == 8);
    CHECK(service->engine->findModel("m1")->adapterMb == doctest::Approx(12));
    CHECK_FALSE(config.findService("shop")->engine);
    CHECK(config.limits.idleTimeout == Duration(std::chrono::seconds(15)));

    SUBCASE("a missing required field of a route or of the configuration is refused")
    {
        for (const auto *field : {"version", "routes", "services", "host", "path_prefix", "kind"})
            CHECK_FALSE(isOk(decodeFleetConfig(parseOrFail(withoutField(ConfigJson, field)))));
    }
    SUBCASE("an unknown route kind is refused, since retries might be wrong for it")
    {
        auto text = ConfigJson;
        text.replace(text.find("\"unsafe\""), 8, "\"weird\"");
        CHECK_FALSE(isOk(decodeFleetConfig(parseOrFail(text))));
    }
    SUBCASE("documents of another structure are refused")
    {
        for (const auto *text : {"[]", "7", "null", "\"text\"", "{}"})
            CHECK_FALSE(isOk(decodeFleetConfig(parseOrFail(text))));
    }
}

TEST_CASE("Client accounts are decoded, and none that could open or lose a limit")
{
    const std::string secret = "sk-secret-4711";
    const std::string accountsJson =
        R"({"version":7,"routes":[{"name":"r1","host":"a.example","path_prefix":"/x/",
        "kind":"safe","timeout_ms":900,"service":"shop","anonymous":true},
       {"name":"r2","host":"a.example","path_prefix":"/y/","kind":"safe","timeout_ms":900,
        "service":"shop"}],
      "services":[{"name":"shop","max_conns":9}],
      "tenants":[{"name":"red","api_keys":["sk-secret-4711","red-2"],"priority":0,
        "rate_per_s":2700.5,"burst":3000,"unit":"token_count","plain_tokens":40},
       {"name":"blue","api_keys":["blue-1"]}]})";
    const auto decode = [&](const std::string &from = "", const std::string &to = "") {
        auto text = accountsJson;
        REQUIRE(text.find(from) != std::string::npos);
        return decodeFleetConfig(parseOrFail(text.replace(text.find(from), from.size(), to)));
    };
    const auto decoded = decode();
    REQUIRE(isOk(decoded));
    const auto &config = value(decoded);
    CHECK(config.routes[0].anonymous);
    CHECK_FALSE(config.routes[1].anonymous);
    REQUIRE(config.accounts);
    const auto *red = config.accounts->findByKey(secret);
    REQUIRE(red != nullptr);
    CHECK(red == config.accounts->findByKey("red-2"));
    CHECK(red->name == "red");
    CHECK(red->rank == 0);
    CHECK(red->quota == QuotaSpec{2700.5, 3000, QuotaUnit::Tokens, 40});
    const auto *blue = config.accounts->findByKey("blue-1");
    REQUIRE(blue != nullptr);
    CHECK_FALSE(blue->rank.has_value());
    CHECK(blue->quota == QuotaSpec{});

    SUBCASE("a configuration without accounts needs no keys")
    {
        const auto open = decode(R"("tenants":[{"name":"red")", R"("others":[{"name":"red")");
        REQUIRE(isOk(open));
        CHECK_FALSE(value(open).accounts);
    }
    SUBCASE("taking away the last account does not open the routes")
    {
        const auto closed =
            decode(R"("tenants":[{"name":"red")", R"("tenants":[], "others":[{"name":"red")");
        REQUIRE(isOk(closed));
        REQUIRE(value(closed).accounts);
        CHECK(value(closed).accounts->findByKey(secret) == nullptr);
    }
    SUBCASE("a field that may be absent may also be null")
    {
        for (const auto *field : {R"("rate_per_s":2700.5)", R"("burst":3000)",
                                  R"("unit":"token_count")", R"("plain_tokens":40)"}) {
            const std::string text = field;
            CHECK(isOk(decode(text, text.substr(0, text.find(':') + 1) + "null")));
        }
    }
    SUBCASE("a malformed field is refused with the names of the account and the field")
    {
        struct Change
        {
            std::string from;
            std::string to;
            std::string named;
        };
        const std::vector<Change> changes{
            {"2700.5", "-1", "rate"},
            {"2700.5", "1e400", "rate"},
            {"2700.5", "\"2700\"", "rate"},
            {"2700.5", "true", "rate"},
            {":3000", ":-0.5", "burst"},
            {":3000", ":1e999", "burst"},
            {":3000", ":[3000]", "burst"},
            {"\"token_count\"", "\"word_count\"", "unit"},
            {"\"token_count\"", "\"\"", "unit"},
            {"\"token_count\"", "7", "unit"},
            {":40", ":-40", "plain_tokens"},
            {":40", ":\"40\"", "plain_tokens"},
            {"[\"sk-secret-4711\",\"red-2\"]", "\"sk-secret-4711\"", "api_keys"},
            {"\"red-2\"", "7", "key"},
            {"\"red-2\"", "\"\"", "key"},
            {"\"red-2\"", "[\"sk-secret-4711\"]", "key"},
            {"\"blue-1\"", "\"sk-secret-4711\"", "key"},
            {"\"blue\"", "\"red\"", "name"},
        };
        for (const auto &change : changes) {
            INFO(change.from << " -> " << change.to);
            const auto refused = decode(change.from, change.to);
            REQUIRE_FALSE(isOk(refused));
            const auto &message = error(refused).message;
            CHECK(message.find("red") != std::string::npos);
            CHECK(error(refused).field.starts_with("/tenants"));
            CHECK(message.find(change.named) != std::string::npos);
            CHECK(message.find(secret) == std::string::npos);
            CHECK(message.find("red-2") == std::string::npos);
        }
    }
    SUBCASE("accounts of another structure are refused")
    {
        for (const auto *text :
             {"null", "{}", "7", "\"red\"", "[7]", "[null]", "[[]]", "[{}]",
              R"([{"name":"","api_keys":["k"]}])", R"([{"name":7,"api_keys":["k"]}])",
              R"([{"api_keys":["k"]}])", R"([{"name":"red\r\nX: 1","api_keys":["k"]}])"}) {
            INFO(text);
            CHECK_FALSE(
                isOk(decode(R"("tenants":)", fmt::format(R"("tenants":{},"others":)", text))));
        }
    }
}

TEST_CASE("An entry of the instance list with a missing or malformed field is rejected")
{
    const auto entry = decodeUpstreamEntry("i-1", parseOrFail(EntryJson));
    REQUIRE(entry.has_value());
    CHECK(entry->startedAtMs == 1790000000000);
    CHECK(entry->address.port == 8080);
    CHECK(isHeld(entry->models, "m1", "a2"));
    CHECK_FALSE(isHeld(entry->models, "m1", "a3"));

    for (const auto *field : {"service", "address", "zone", "slots", "state", "sequence"})
        CHECK_FALSE(
            decodeUpstreamEntry("i-1", parseOrFail(withoutField(EntryJson, field))).has_value());
    CHECK_FALSE(decodeUpstreamEntry("", parseOrFail(EntryJson)).has_value());
    const auto replaced = [](std::string from, const std::string &to) {
        auto text = EntryJson;
        text.replace(text.find(from), from.size(), to);
        return parseOrFail(text);
    };
    CHECK_FALSE(decodeUpstreamEntry("i-1", replaced("\"ready\"", "\"resting\"")).has_value());
    CHECK_FALSE(decodeUpstreamEntry("i-1", replaced("10.128.0.9:8080", "nowhere")).has_value());
    CHECK_FALSE(
        decodeUpstreamEntry("i-1", replaced("\"slots\":64", "\"slots\":\"64\"")).has_value());
    for (const auto *slots : {"0", "4294967296", "-1", "1e300", "18446744073709551616"})
        CHECK_FALSE(
            decodeUpstreamEntry("i-1", replaced("\"slots\":64", fmt::format("\"slots\":{}", slots)))
                .has_value());
    for (const auto *port : {"0", "65536", "-1", "99999999999999999999", ""})
        CHECK_FALSE(decodeUpstreamEntry(
                        "i-1", replaced("10.128.0.9:8080", fmt::format("10.128.0.9:{}", port)))
                        .has_value());
    CHECK_FALSE(decodeUpstreamEntry("i-1", replaced("1790000000000", "1.5")).has_value());
    CHECK_FALSE(
        decodeUpstreamEntry("i-1", replaced("[{\"name\":\"m1\"", "[{\"nam\":\"m1\"")).has_value());
    CHECK_FALSE(decodeUpstreamEntry("i-1", parseOrFail("\"bytes\"")).has_value());
    SUBCASE("an older engine that does not report its start time is used")
    {
        CHECK(
            decodeUpstreamEntry("i-1", parseOrFail(withoutField(EntryJson, "born")))->startedAtMs ==
            0);
    }
}

TEST_CASE("An engine's report lists the models that it holds and the adapters in transit")
{
    const auto report = decodeEngineReport(
        parseOrFail(R"({"stage":"both","models":[{"name":"m1","version":1,"adapters":["a1"]}],
          "busy":true,"sequence":2,"queue_depth":1,"active_requests":12,"kv_used":41000,
          "kv_total":90000,"handles":0,"coming":["m1/a7@1"],"state":"draining","born":5,
          "at_hand":{"in_memory":["m1"],"on_disk":["m1","m2"]}})"));
    REQUIRE(isOk(report));
    CHECK(value(report).busy);
    CHECK(value(report).leaving);
    CHECK(value(report).sequence == 2);
    CHECK(isHeld(value(report).adaptersInTransit, "m1", "a7"));
    CHECK(value(report).modelsOnDisk.size() == 2);
    const auto odd = decodeEngineReport(parseOrFail(
        R"({"models":[],"sequence":1,"queue_depth":1e300,"active_requests":-5,"kv_used":"x"})"));
    REQUIRE(isOk(odd));
    CHECK(value(odd).waiting == 4294967295);
    CHECK(value(odd).running == 0);
    CHECK_FALSE(isOk(decodeEngineReport(parseOrFail(R"({"models":[]})"))));
    CHECK_FALSE(isOk(decodeEngineReport(parseOrFail(R"({"models":5,"sequence":1})"))));
}

TEST_CASE("An encoded order contains the adapter only if the order concerns an adapter")
{
    EngineOrder order;
    order.model = "m1";
    order.expectedSequence = 2;
    const OrderAuthority authority{"side-1", 41, "i-1"};
    CHECK(encodeEngineOrder(order, authority) ==
          R"({"op":"load","model":"m1","expected":2,"holder":"side-1","fence":41})");
    order.verb = OrderVerb::Unload;
    order.adapter = "a3";
    CHECK(parseOrFail(encodeEngineOrder(order, authority)).at("adapter").as_string() == "a3");
}

TEST_CASE("An invalid settings file is refused with the name of the field")
{
    const auto settings = readPlatformSettings(SettingsJson);
    REQUIRE(isOk(settings));
    CHECK(value(settings).instance == "front-1");
    CHECK(value(settings).callerAddress->port == 8149);
    const auto &regions = value(settings).dataCentreRegions;
    CHECK(std::count(regions.begin(), regions.end(),
                     std::pair<std::string, std::string>("z2", "r2")) == 1);
    CHECK(value(settings).cpuCores == 0.19);
    CHECK(value(settings).retryReserve == 58);
    CHECK(value(settings).quotaWindow == std::chrono::seconds(6));
    CHECK(value(settings).quotaOverage == 0.2);
    CHECK(value(settings).quotaSlack == 900);
    CHECK(value(settings).firstInternalPort == 7380);

    for (const auto *field :
         {"node_name", "ip", "zone", "region", "zones", "inner_port_range", "address"}) {
        const auto refused = readPlatformSettings(withoutField(SettingsJson, field));
        REQUIRE_FALSE(isOk(refused));
        CHECK(error(refused).kind == ErrorKind::InvalidSettings);
        CHECK(error(refused).message.find(field) != std::string::npos);
    }
    for (const auto &[from, to] :
         std::vector<std::pair<std::string, std::string>>{{"10.1.0.38:8149", "somewhere"},
                                                          {"[7380,7395]", "[7395,7380]"},
                                                          {"\"grace_s\":8", "\"grace_s\":\"8\""},
                                                          {"\"r2\"", "2"}}) {
        auto text = SettingsJson;
        text.replace(text.find(from), from.size(), to);
        CHECK_FALSE(isOk(readPlatformSettings(text)));
    }
    for (const auto *text : {"", "{", "[]", "null"})
        CHECK_FALSE(isOk(readPlatformSettings(text)));
}
