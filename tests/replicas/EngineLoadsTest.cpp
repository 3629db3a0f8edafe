// Spread of demand over replicas, and the effect of one replica more or less.
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
    SUBCASE("and a model gets most work on the engine whose other models have the least")
    {
        const EngineLoads loads({{"a", {{"hot"}, {"busy"}}}, {"b", {{"hot"}}}},
                                {{"hot", {20, 0.6}}, {"busy", {10, 0.6}}});
        CHECK(loads.utilization("a") == doctest::Approx(0.6));
        CHECK(loads.utilization("b") == doctest::Approx(0.6));
    }
}

TEST_CASE("A further replica gains as much as it relieves busy engines")
{
    const EngineLoads::Placement placement{
        {"a", {{"hot"}, {"beside"}}}, {"busy", {{"other"}}}, {"idle", {{"silent"}}}};
    const EngineLoads loads(placement,
                            {{"hot", {20, 1}}, {"beside", {10, 0.2}}, {"other", {20, 1.2}}});

    SUBCASE("next to nothing on an engine that is as busy")
    {
        // What remains is that it may survive a failure of the other replica.
        CHECK(loads.replicaGain("busy", "hot", "") < 1);
    }
    SUBCASE("more on an idle one, also for the other models of the engine that is relieved")
    {
        CHECK(loads.replicaGain("idle", "hot", "") > 2);
    }
    SUBCASE("and more in place of a busy victim, whose engine becomes idle")
    {
        CHECK(loads.replicaGain("busy", "hot", "other") > loads.replicaGain("busy", "hot", ""));
    }
    SUBCASE("and all requests of a model that no engine holds")
    {
        const EngineLoads without({{"idle", {{"silent"}}}}, {{"lost", {8, 0.1}}});
        CHECK(without.replicaGain("idle", "lost", "") == doctest::Approx(8));
    }
}

TEST_CASE("Dropping a replica costs what the others cannot take over")
{
    SUBCASE("little while they are idle")
    {
        const EngineLoads loads({{"a", {{"m"}}}, {"b", {{"m"}}}, {"c", {{"m"}}}},
                                {{"m", {9, 0.2}}});
        CHECK(loads.replicaLoss("a", "m") < 0.1);
    }
    SUBCASE("much once they are busy themselves")
    {
        const EngineLoads loads({{"a", {{"m"}}}, {"b", {{"m"}}}, {"c", {{"m"}}}},
                                {{"m", {30, 2.7}}});
        CHECK(loads.replicaLoss("a", "m") > 3);
    }
    SUBCASE("all of its requests if the others are still being loaded")
    {
        const EngineLoads loads({{"a", {{"m"}}}, {"b", {{"m", false}}}}, {{"m", {10, 0.2}}});
        CHECK(loads.replicaLoss("a", "m") > 9);
    }
}
