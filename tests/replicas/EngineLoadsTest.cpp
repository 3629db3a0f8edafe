// Spread of demand over replicas, and what a replica more or less changes.
#include "replicas/EngineLoads.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("Each request goes to the least busy engine that holds its model")
{
    SUBCASE("so replicas of one model are equally busy")
    {
        const EngineLoads loads({{"a", {{"hot"}}}, {"b", {{"hot"}}}}, {{"hot", {20, 1}}});
        CHECK(loads.utilization("a") == doctest::Approx(0.5));
        CHECK(loads.utilization("b") == doctest::Approx(0.5));
    }
    SUBCASE("and a model runs beside the one that leaves most room")
    {
        const EngineLoads loads({{"a", {{"hot"}, {"busy"}}}, {"b", {{"hot"}}}},
                                {{"hot", {20, 0.6}}, {"busy", {10, 0.6}}});
        CHECK(loads.utilization("a") == doctest::Approx(0.6));
        CHECK(loads.utilization("b") == doctest::Approx(0.6));
    }
}

TEST_CASE("A replica more is worth what it takes off busy engines")
{
    const EngineLoads::Placement placement{
        {"a", {{"hot"}, {"beside"}}}, {"busy", {{"other"}}}, {"idle", {{"silent"}}}};
    const EngineLoads loads(placement,
                            {{"hot", {20, 1}}, {"beside", {10, 0.2}}, {"other", {20, 1.2}}});

    SUBCASE("nothing on an engine that is as busy")
    {
        // Outliving the other replica is all that is left.
        CHECK(loads.gainOf("busy", "hot", "") < 1);
    }
    SUBCASE("more on an idle one, also for the models beside which the demand ran")
    {
        CHECK(loads.gainOf("idle", "hot", "") > 2);
    }
    SUBCASE("and taking the place of a busy victim makes the engine idle")
    {
        CHECK(loads.gainOf("busy", "hot", "other") > loads.gainOf("busy", "hot", ""));
    }
    SUBCASE("a model that nobody holds is served at all")
    {
        const EngineLoads without({{"idle", {{"silent"}}}}, {{"lost", {8, 0.1}}});
        CHECK(without.gainOf("idle", "lost", "") == doctest::Approx(8));
    }
}

TEST_CASE("A replica less costs what the others cannot take over")
{
    SUBCASE("little while they are idle")
    {
        const EngineLoads loads({{"a", {{"m"}}}, {"b", {{"m"}}}, {"c", {{"m"}}}},
                                {{"m", {9, 0.2}}});
        CHECK(loads.lossOf("a", "m") < 0.1);
    }
    SUBCASE("much once they are busy themselves")
    {
        const EngineLoads loads({{"a", {{"m"}}}, {"b", {{"m"}}}, {"c", {{"m"}}}},
                                {{"m", {30, 2.7}}});
        CHECK(loads.lossOf("a", "m") > 3);
    }
    SUBCASE("all of its requests if the others are still being loaded")
    {
        const EngineLoads loads({{"a", {{"m"}}}, {"b", {{"m", false}}}}, {{"m", {10, 0.2}}});
        CHECK(loads.lossOf("a", "m") > 9);
    }
}
