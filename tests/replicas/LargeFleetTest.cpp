// Plans for hundreds of engines.
//
// 180 engines with three models each; a few of the 333 models get most requests, and the demand has
// just shifted to other models. A plan must be ready before its planner is replaced for its
// silence.
#include "replicas/PlanPacer.h"
#include "replicas/PlannerElection.h"
#include "replicas/ReplicaPlanner.h"

#include <doctest/doctest.h>
#include <set>

using namespace tray;

namespace {

constexpr int Engines = 180;
constexpr int Models = 333;
constexpr int PlacesPerEngine = 3;
constexpr double StoreLoadsPerSecond = 26;

std::string modelName(int i)
{
    return "m" + std::to_string(i);
}

struct Fleet
{
    Fleet()
    {
        this->spec.weightsMb = 220000;
        this->spec.adapterSlots = 8;
        this->spec.loadsPerSecond = StoreLoadsPerSecond;
        for (int i = 0; i < Models; ++i)
            this->spec.models.push_back({modelName(i), 68000, 60, std::chrono::seconds(9),
                                         milliseconds(800), milliseconds(2300)});
        // Each model has one replica; the first 20 models share the places that are left.
        for (int i = 0; i < Engines; ++i) {
            EngineCandidate engine;
            engine.id = "e" + std::to_string(i);
            engine.dataCentre = "dc" + std::to_string(i % 6);
            engine.startedAtMs = 1;
            engine.acceptsOrders = true;
            for (int place = 0; place < PlacesPerEngine; ++place) {
                const int slot = place * Engines + i;
                engine.models.push_back(modelName(slot < Models ? slot : (slot - Models) % 20));
            }
            engine.onDisk = {engine.models.begin(), engine.models.end()};
            this->engines.push_back(std::move(engine));
        }
    }

    /// Demand in which the models from this one on get most requests.
    std::map<std::string, PlannedDemand> demandFrom(int first) const
    {
        std::map<std::string, PlannedDemand> demand;
        double rate = 300;
        for (int i = 0; i < Models; ++i) {
            demand[modelName((first + i) % Models)] = {rate, rate * 0.06};
            rate = std::max(0.3, rate * 0.6);
        }
        return demand;
    }

    EngineSpec spec;
    std::vector<EngineCandidate> engines;
};

} // namespace

TEST_CASE("A plan for hundreds of engines")
{
    const Fleet fleet;
    ReplicaPlanner planner({});
    const Instant now{std::chrono::hours(1)};
    planner.takeRole(now - std::chrono::minutes(1));
    planner.noteListGrowth(now - std::chrono::minutes(1));
    planner.plan(fleet.spec, fleet.engines, fleet.demandFrom(0), now);

    const Instant began = clockNow();
    const auto moves = planner.plan(fleet.spec, fleet.engines, fleet.demandFrom(120),
                                    now + std::chrono::seconds(30));
    const Duration took = clockNow() - began;

    SUBCASE("is made before the election timeout lets others take the planner's role")
    {
        CHECK(took < PlannerElection::ElectionTimeout);
    }
    SUBCASE("moves replicas to the models in demand, and drops no model's last one")
    {
        CHECK(moves.size() >= 10);
        std::map<std::string, int> replicas;
        for (const auto &engine : fleet.engines) {
            for (const auto &model : engine.models)
                ++replicas[model];
        }
        std::set<std::string> busiest;
        for (int i = 120; i < 140; ++i)
            busiest.insert(modelName(i));
        for (const auto &move : moves) {
            CHECK(busiest.contains(move.load));
            if (!move.unload.empty())
                CHECK(--replicas[move.unload] >= 1);
        }
    }
}

TEST_CASE("Planning leaves most of the time to the callers of the planning instance")
{
    const Instant start{std::chrono::hours(1)};
    PlanPacer pacer;
    REQUIRE(pacer.mayPlan(start));

    SUBCASE("a quick plan may follow soon")
    {
        pacer.notePlan(start, start + milliseconds(2));
        CHECK(pacer.mayPlan(start + milliseconds(20)));
    }
    SUBCASE("after a slow one the pause is many times what it took")
    {
        pacer.notePlan(start, start + milliseconds(200));
        CHECK_FALSE(pacer.mayPlan(start + milliseconds(1900)));
        CHECK(pacer.mayPlan(start + milliseconds(2000)));
    }
    SUBCASE("but no longer than demand stays as it is")
    {
        pacer.notePlan(start, start + std::chrono::seconds(2));
        CHECK(pacer.mayPlan(start + std::chrono::seconds(2) + PlanPacer::MaxPause));
    }
}
