// Placement of models under changing demand and failures.
#include "replicas/ReplicaPlanner.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tray;

namespace {

const Instant Start{std::chrono::hours(1)};

EngineSpec specOf(int models)
{
    EngineSpec spec;
    spec.weightsMb = 220000;
    spec.adapterSlots = 8;
    spec.loadsPerSecond = 1.1;
    for (int i = 0; i < models; ++i)
        spec.models.push_back({"m" + std::to_string(i), 70000, 60, std::chrono::seconds(9)});
    return spec;
}

EngineCandidate engineWith(const std::string &id, std::vector<std::string> models)
{
    EngineCandidate engine;
    engine.id = id;
    engine.dataCentre = "dc-" + id;
    engine.startedAtMs = 1;
    engine.acceptsOrders = true;
    engine.models = std::move(models);
    return engine;
}

/// A planner, and engines that carry out its moves immediately.
class Fleet
{
public:
    Fleet(EngineSpec spec, std::vector<EngineCandidate> engines)
        : spec(std::move(spec)), engines(std::move(engines))
    {}

    std::vector<PlannedMove> step(const std::map<std::string, PlannedDemand> &demand)
    {
        const auto moves = this->planner.plan(this->spec, this->engines, demand, this->now);
        this->now += milliseconds(500);
        return moves;
    }

    void carryOut(const std::vector<PlannedMove> &moves)
    {
        for (const auto &move : moves) {
            auto &engine = *std::find_if(this->engines.begin(), this->engines.end(),
                                         [&](const auto &row) { return row.id == move.engineId; });
            std::erase(engine.models, move.unload);
            engine.models.push_back(move.load);
        }
    }

    /// All moves of some seconds, which the engines carry out.
    std::vector<PlannedMove> movesFor(int steps, const std::map<std::string, PlannedDemand> &demand)
    {
        std::vector<PlannedMove> all;
        for (int i = 0; i < steps; ++i) {
            const auto moves = this->step(demand);
            this->carryOut(moves);
            all.insert(all.end(), moves.begin(), moves.end());
        }
        return all;
    }

    int replicas(const std::string &model) const
    {
        int count = 0;
        for (const auto &engine : this->engines)
            count += std::count(engine.models.begin(), engine.models.end(), model) > 0 ? 1 : 0;
        return count;
    }

    EngineSpec spec;
    std::vector<EngineCandidate> engines;
    ReplicaPlanner planner{StoreLoadLimits{}};
    Instant now = Start;
};

} // namespace

TEST_CASE("Every model gets and keeps a replica")
{
    SUBCASE("models that were lost with a crashed engine are loaded again")
    {
        Fleet fleet(specOf(4), {engineWith("a", {"m0", "m1"}), engineWith("b", {"m0"})});
        for (int i = 0; i < 20; ++i)
            fleet.carryOut(fleet.step({{"m0", {20, 0.4}}}));
        for (const auto &model : fleet.spec.models)
            CHECK(fleet.replicas(model.name) >= 1);
    }
    SUBCASE("also from the weight store, at the cost of models in demand")
    {
        // m4 has no replica and no copy; all room is taken by models with a second replica.
        Fleet fleet(specOf(5),
                    {engineWith("a", {"m0", "m1", "m2"}), engineWith("b", {"m0", "m1", "m2"}),
                     engineWith("c", {"m3", "m0", "m1"})});
        const std::map<std::string, PlannedDemand> busy{
            {"m0", {20, 1.5}}, {"m1", {20, 1.5}}, {"m2", {15, 1.1}}, {"m3", {12, 0.8}}};
        for (int i = 0; i < 20; ++i)
            fleet.carryOut(fleet.step(busy));
        for (const auto &model : fleet.spec.models)
            CHECK(fleet.replicas(model.name) >= 1);
    }
    SUBCASE("an engine with a copy is preferred to one that loads from the store, after a wait")
    {
        // "c" restarted after a crash with a copy of m4 and loads m3 first; all other room is
        // taken.
        Fleet fleet(specOf(5), {engineWith("a", {"m0", "m1", "m2"}),
                                engineWith("b", {"m0", "m1", "m2"}), engineWith("c", {})});
        fleet.engines[2].onDisk = {"m3", "m4"};
        fleet.engines[2].loading = "m3";
        std::map<std::string, PlannedDemand> busy;
        for (int i = 0; i < 4; ++i)
            busy["m" + std::to_string(i)] = {20, 0.5};
        for (int i = 0; i < 20; ++i) {
            for (const auto &move : fleet.step(busy))
                CHECK(move.load != "m4");
        }
        fleet.engines[2].loading.clear();
        fleet.engines[2].models = {"m3"};
        for (int i = 0; i < 4; ++i)
            fleet.carryOut(fleet.step(busy));
        CHECK(fleet.replicas("m4") == 1);
        CHECK(fleet.replicas("m0") >= 2);
    }
    SUBCASE("and a model that no engine held gets one replica")
    {
        // All room is taken by models of two replicas each, so every victim is a loss; m6 was lost
        // with its engine.
        Fleet fleet(specOf(7),
                    {engineWith("a", {"m0", "m1", "m2"}), engineWith("b", {"m0", "m1", "m2"}),
                     engineWith("c", {"m3", "m4", "m5"}), engineWith("d", {"m3", "m4", "m5"})});
        std::map<std::string, PlannedDemand> busy;
        for (int i = 0; i < 6; ++i)
            busy["m" + std::to_string(i)] = {20, 0.5};
        for (int i = 0; i < 20; ++i)
            fleet.carryOut(fleet.step(busy));
        CHECK(fleet.replicas("m6") == 1);
    }
    SUBCASE("no demand evicts the last replica of a model without requests")
    {
        Fleet fleet(specOf(6),
                    {engineWith("a", {"m0", "m1", "m2"}), engineWith("b", {"m3", "m4", "m5"})});
        for (int i = 0; i < 40; ++i)
            fleet.carryOut(fleet.step({{"m0", {100, 10}}}));
        for (const auto &model : fleet.spec.models)
            CHECK(fleet.replicas(model.name) == 1);
    }
}

TEST_CASE("Room goes to the models with the most work per replica")
{
    Fleet fleet(specOf(3), {engineWith("a", {"m0", "m1", "m2"}), engineWith("b", {"m1", "m2"}),
                            engineWith("c", {"m1", "m2"}), engineWith("d", {"m1", "m2"})});
    for (auto &engine : fleet.engines)
        engine.onDisk = {"m0"};
    for (int i = 0; i < 40; ++i)
        fleet.carryOut(fleet.step({{"m0", {30, 1.5}}}));
    CHECK(fleet.replicas("m0") == 4);

    SUBCASE("and once all is well placed nothing moves")
    {
        CHECK(fleet.step({{"m0", {30, 1.5}}}).empty());
        CHECK(fleet.step({{"m0", {31, 1.55}}}).empty());
    }
}

TEST_CASE("Demand that shifts within seconds is met by loads from copies on the engines' hosts")
{
    // All room is taken; m0 becomes busy, and "b" alone has a copy of it.
    Fleet fleet(specOf(4),
                {engineWith("a", {"m0", "m1", "m2"}), engineWith("b", {"m1", "m2", "m3"}),
                 engineWith("c", {"m1", "m2", "m3"})});
    fleet.engines[1].onDisk = {"m0"};

    SUBCASE("the engine that has a copy goes first")
    {
        const auto moves = fleet.step({{"m0", {20, 1.5}}});
        REQUIRE(!moves.empty());
        CHECK(moves.front().engineId == "b");
        CHECK(moves.front().load == "m0");
    }
    SUBCASE("no load from the store begins that would end after the demand has shifted")
    {
        const auto moves = fleet.step({{"m0", {8, 0.6}}, {"m3", {4, 0.3}}});
        for (const auto &move : moves)
            CHECK(move.engineId == "b");
    }
    SUBCASE("a model that no engine holds is loaded from any source")
    {
        std::erase(fleet.engines[0].models, "m0");
        fleet.engines[1].onDisk.clear();
        const auto moves = fleet.step({{"m0", {8, 0.6}}});
        REQUIRE(!moves.empty());
        CHECK(moves.front().load == "m0");
    }
}

TEST_CASE("A new planner waits until the instance list is complete")
{
    // Engines are listed one after the other; "b" with the only other models is still missing.
    Fleet fleet(specOf(6), {engineWith("a", {"m0", "m1", "m2"}), engineWith("c", {"m0", "m1"})});
    fleet.planner.takeRole(fleet.now);
    fleet.planner.noteListGrowth(fleet.now);
    CHECK(fleet.step({}).empty());
    CHECK_FALSE(fleet.planner.requestedModelsFor("a").has_value());

    SUBCASE("so no replica is dropped for models that unlisted engines hold")
    {
        fleet.engines.push_back(engineWith("b", {"m3", "m4", "m5"}));
        fleet.planner.noteListGrowth(fleet.now);
        for (int i = 0; i < 10; ++i) {
            for (const auto &move : fleet.step({}))
                CHECK(move.unload.empty());
        }
    }
    SUBCASE("but for a limited time")
    {
        for (int i = 0; i < 10; ++i) {
            fleet.planner.noteListGrowth(fleet.now);
            fleet.step({});
        }
        CHECK(fleet.planner.requestedModelsFor("a").has_value());
    }
    SUBCASE("engines that are listed later do not delay it again")
    {
        for (int i = 0; i < 4; ++i)
            fleet.step({});
        fleet.planner.noteListGrowth(fleet.now);
        fleet.step({});
        CHECK(fleet.planner.requestedModelsFor("a").has_value());
    }
}

TEST_CASE("A planner that is elected before any engine is listed keeps the placement that it finds")
{
    // The list is empty for longer than it takes to settle, and then grows engine by engine.
    Fleet fleet(specOf(6), {});
    fleet.planner.takeRole(fleet.now);
    for (int i = 0; i < 10; ++i)
        CHECK(fleet.step({}).empty());
    const std::vector<EngineCandidate> listed = {engineWith("a", {"m0", "m1", "m2"}),
                                                 engineWith("b", {"m0", "m3", "m4"}),
                                                 engineWith("c", {"m0", "m5"})};
    for (const auto &engine : listed) {
        fleet.engines.push_back(engine);
        fleet.engines.back().onDisk = {"m3", "m4", "m5"};
        fleet.planner.noteListGrowth(fleet.now);
        fleet.carryOut(fleet.step({}));
    }
    for (int i = 0; i < 10; ++i)
        fleet.carryOut(fleet.step({}));
    CHECK(fleet.replicas("m0") == 3);
}

TEST_CASE("Without any demand the model with most replicas is unloaded")
{
    Fleet fleet(specOf(4), {engineWith("a", {"m0", "m1", "m2"}), engineWith("b", {"m0", "m2"}),
                            engineWith("c", {"m2"})});
    fleet.engines[1].acceptsOrders = false;
    fleet.engines[2].acceptsOrders = false;
    const auto moves = fleet.step({});
    REQUIRE(moves.size() == 1);
    CHECK(moves.front().load == "m3");
    CHECK(moves.front().unload == "m2");
}

TEST_CASE("A replica that answers is not dropped for one that is still being loaded")
{
    // m0 is hot and has one replica that answers; its others are still being loaded.
    Fleet fleet(specOf(4), {engineWith("a", {"m0", "m1", "m2"}), engineWith("b", {"m1", "m2"}),
                            engineWith("c", {"m1", "m2"})});
    fleet.engines[1].loading = "m0";
    fleet.engines[2].loading = "m0";
    for (int i = 0; i < 10; ++i) {
        for (const auto &move : fleet.step({{"m0", {20, 1}}, {"m3", {5, 0.4}}}))
            CHECK(move.unload != "m0");
    }
}

TEST_CASE("Loads from the weight store stay within the bound of each window")
{
    // 12 engines restart empty at the same time; the limit of a window is 1.1 * 5 * 1.1 + 3 = 9.
    std::vector<EngineCandidate> engines;
    for (int i = 0; i < 12; ++i)
        engines.push_back(engineWith("e" + std::to_string(i), {}));
    Fleet fleet(specOf(36), engines);
    std::vector<Instant> granted;
    for (int i = 0; i < 120; ++i) {
        const Instant at = fleet.now;
        const auto moves = fleet.step({});
        granted.insert(granted.end(), moves.size(), at);
        fleet.carryOut(moves);
    }
    for (const auto &first : granted) {
        const auto inWindow = std::count_if(granted.begin(), granted.end(), [&](Instant at) {
            return at >= first && at < first + std::chrono::seconds(5);
        });
        CHECK(inWindow <= 9);
    }
    CHECK(granted.size() == 36);

    SUBCASE("a new planner reserves most of its first window for what its predecessor granted")
    {
        std::vector<EngineCandidate> empty;
        for (int i = 0; i < 12; ++i)
            empty.push_back(engineWith("n" + std::to_string(i), {}));
        Fleet after(specOf(36), empty);
        after.engines[0].loading = "m0";
        after.planner.takeRole(after.now);
        // One load is in progress, and three tenths of the nine are two.
        CHECK(after.step({}).size() == 1);
        after.now += std::chrono::seconds(6);
        // 65 % of the nine are five, of which one is granted and has not begun.
        CHECK(after.step({}).size() == 4);
    }
    SUBCASE("also across a loss of all processes, after which no load in progress is reported")
    {
        std::vector<EngineCandidate> empty;
        for (int i = 0; i < 12; ++i)
            empty.push_back(engineWith("n" + std::to_string(i), {}));
        Fleet before(specOf(36), empty);
        const size_t first = before.step({}).size();
        for (auto &engine : empty)
            engine.startedAtMs = 2;
        Fleet after(specOf(36), empty);
        after.planner.takeRole(after.now);
        const size_t second = after.step({}).size();
        CHECK(first >= 4);
        CHECK(second >= 1);
        CHECK(first + second <= 9);
    }
    SUBCASE("copies on the engine's host need no store")
    {
        Fleet after(specOf(3), {engineWith("a", {})});
        after.engines[0].onDisk = {"m1"};
        after.planner.takeRole(after.now);
        const auto moves = after.step({});
        REQUIRE(moves.size() == 1);
        CHECK(moves.front().load == "m1");
    }
}

TEST_CASE("Engines whose stewards are not reachable are left alone")
{
    Fleet fleet(specOf(2), {engineWith("a", {"m0"}), engineWith("b", {})});
    fleet.engines[1].acceptsOrders = false;
    fleet.engines[0].acceptsOrders = false;
    CHECK(fleet.step({{"m0", {50, 3}}}).empty());
    CHECK_FALSE(fleet.planner.requestedModelsFor("a").has_value());
}

TEST_CASE("A model that continuations wait for is loaded at their software version")
{
    // All room is taken. Only "a", of the old version, holds m3; "b" and "c" are of the new one.
    Fleet fleet(specOf(4),
                {engineWith("a", {"m0", "m1", "m3"}), engineWith("b", {"m0", "m1", "m2"}),
                 engineWith("c", {"m0", "m1", "m2"})});
    fleet.engines[0].softwareVersion = "v1";
    fleet.engines[1].softwareVersion = "v2";
    fleet.engines[2].softwareVersion = "v2";
    std::map<std::string, PlannedDemand> busy;
    for (int i = 0; i < 4; ++i)
        busy["m" + std::to_string(i)] = {20, 0.4};
    // Without continuations nothing moves.
    REQUIRE(fleet.movesFor(6, busy).empty());

    SUBCASE("soon, by one engine that has a copy, at the cost of a model with other replicas")
    {
        fleet.engines[2].onDisk = {"m3"};
        fleet.planner.noteContinuations({{"m3", "v2"}});
        const auto moves = fleet.movesFor(2, busy);
        REQUIRE(moves.size() == 1);
        CHECK(moves.front().engineId == "c");
        CHECK(moves.front().load == "m3");
        CHECK(moves.front().isForContinuation);
        // As long as continuations come, it is kept, and no other engine loads it.
        CHECK(fleet.movesFor(20, busy).empty());
    }
    SUBCASE("before moves that gain a little more")
    {
        fleet.engines[2].onDisk = {"m3"};
        fleet.engines[2].models = {"m0", "m1"};
        fleet.engines[2].onDisk = {"m2", "m3"};
        fleet.planner.noteContinuations({{"m3", "v2"}});
        fleet.engines[2].loading = "m0";
        fleet.movesFor(2, busy);
        fleet.engines[2].loading.clear();
        const auto moves = fleet.movesFor(1, busy);
        REQUIRE_FALSE(moves.empty());
        CHECK(moves.front().load == "m3");
    }
    SUBCASE("from the weight store only once it has been missed for long")
    {
        fleet.planner.noteContinuations({{"m3", "v2"}});
        CHECK(fleet.movesFor(8, busy).empty());
        CHECK(fleet.movesFor(5, busy).size() == 1);
    }
    SUBCASE("and still later if a busy engine of the version has a copy")
    {
        fleet.engines[2].onDisk = {"m3"};
        fleet.engines[2].loading = "m0";
        fleet.planner.noteContinuations({{"m3", "v2"}});
        CHECK(fleet.movesFor(20, busy).empty());
    }
    SUBCASE("not if one of its engines holds or loads it")
    {
        fleet.engines[2].onDisk = {"m3"};
        fleet.engines[1].onDisk = {"m3"};
        fleet.planner.noteContinuations({{"m3", "v1"}});
        CHECK(fleet.movesFor(20, busy).empty());
        fleet.engines[1].loading = "m3";
        fleet.planner.noteContinuations({{"m3", "v2"}});
        CHECK(fleet.movesFor(20, busy).empty());
    }
    SUBCASE("but although an engine that leaves holds it")
    {
        fleet.engines[1].models = {"m0", "m1", "m3"};
        fleet.engines[1].leaving = true;
        fleet.engines[1].acceptsOrders = false;
        fleet.engines[2].onDisk = {"m3"};
        fleet.planner.noteContinuations({{"m3", "v2"}});
        const auto moves = fleet.movesFor(2, busy);
        REQUIRE(moves.size() == 1);
        CHECK(moves.front().engineId == "c");
    }
    SUBCASE("not once no continuation waits any more, nor at a version without engines")
    {
        fleet.engines[2].onDisk = {"m3"};
        fleet.planner.noteContinuations({{"m3", "v2"}});
        fleet.planner.noteContinuations({{"m3", "v9"}});
        CHECK(fleet.movesFor(20, busy).empty());
    }
    SUBCASE("never at the cost of the last replica of a model")
    {
        fleet.engines[2].models = {"m4", "m5", "m6"};
        fleet.engines[2].onDisk = {"m3"};
        fleet.engines[1].acceptsOrders = false;
        fleet.spec = specOf(7);
        fleet.planner.noteContinuations({{"m3", "v2"}});
        CHECK(fleet.movesFor(30, busy).empty());
    }
}

TEST_CASE("Models that continuations wait for do not push each other out")
{
    // One engine of the old version is left, with room for three of four models that are awaited.
    Fleet fleet(specOf(5),
                {engineWith("a", {"m0", "m1", "m2"}), engineWith("b", {"m0", "m1", "m2"}),
                 engineWith("c", {"m3", "m4", "m0"})});
    fleet.engines[0].softwareVersion = "v1";
    fleet.engines[0].onDisk = {"m0", "m1", "m2", "m3", "m4"};
    fleet.planner.noteContinuations({{"m1", "v1"}, {"m2", "v1"}, {"m3", "v1"}, {"m4", "v1"}});
    const auto moves = fleet.movesFor(60, {});
    CHECK(moves.size() == 1);
}
