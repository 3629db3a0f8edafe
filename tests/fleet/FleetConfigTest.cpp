// Guards against requests that take the wrong route or service, and against retries on routes that
// do not allow them.
#include "fleet/FleetConfig.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = {{"svc", 1}};
    return route;
}

} // namespace

TEST_CASE("A request finds its route by host and longest prefix")
{
    FleetConfig config;
    config.routes = {makeRoute("short", "a.example", "/x/"),
                     makeRoute("long", "a.example", "/x/y/"), makeRoute("other", "b.example", "/")};
    CHECK(config.findRoute("a.example", "/x/1")->name == "short");
    CHECK(config.findRoute("a.example", "/x/y/1")->name == "long");
    CHECK(config.findRoute("b.example", "/x/y/1")->name == "other");
    CHECK(config.findRoute("a.example", "/x") == nullptr);
    CHECK(config.findRoute("c.example", "/x/1") == nullptr);
}

TEST_CASE("The digest of an engine's specification shows each change")
{
    EngineSpec spec;
    spec.models.push_back({"m1", 70000, 60, std::chrono::seconds(9)});
    EngineSpec other = spec;
    CHECK(other.digest() == spec.digest());
    CHECK(EngineSpec().digest() != 0);
    SUBCASE("of the engine")
    {
        other.slots = 1;
    }
    SUBCASE("of a model")
    {
        other.models.front().diskLoadTime += milliseconds(1);
    }
    SUBCASE("of the list of models")
    {
        other.models.push_back({"m2", 70000, 60, std::chrono::seconds(9)});
    }
    CHECK(other.digest() != spec.digest());
}

TEST_CASE("A split route spreads its requests by weight")
{
    Route route = makeRoute("split", "a.example", "/");
    route.services = {{"main", 90}, {"trial", 10}};
    int trial = 0;
    for (uint64_t hash = 0; hash < 1000; ++hash)
        trial += chooseService(route, hash) == "trial" ? 1 : 0;
    CHECK(trial == 100);
    SUBCASE("a service with weight zero gets none")
    {
        route.services = {{"off", 0}, {"on", 5}};
        for (uint64_t hash = 0; hash < 20; ++hash)
            CHECK(chooseService(route, hash) == "on");
    }
    SUBCASE("weights that are all zero fall back to the first service")
    {
        route.services = {{"only", 0}};
        CHECK(chooseService(route, 7) == "only");
    }
}

TEST_CASE("Only idempotent routes and resumable streams are repeatable")
{
    Route route = makeRoute("r", "a.example", "/");
    route.kind = RouteKind::Idempotent;
    CHECK(route.isRepeatable());
    route.kind = RouteKind::NonIdempotent;
    CHECK_FALSE(route.isRepeatable());
    route.kind = RouteKind::Streaming;
    CHECK_FALSE(route.isRepeatable());
    route.resumable = true;
    CHECK(route.isRepeatable());
}
