// Simulates demand, crashes and loads of some seconds, and counts the requests that are served.
//
// A few models get most requests and many get few; engines crash, lose all models and restart
// empty, with copies on their hosts.
#include "replicas/ReplicaPlanner.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

using namespace tray;

namespace {

constexpr Duration Step = milliseconds(100);
constexpr Duration UnloadTime = milliseconds(200);
constexpr int Engines = 24;
constexpr int HotModels = 8;

std::string hotName(int i)
{
    return "hot" + std::to_string(i);
}

/// Engines that follow the planner's requested placement and take time to load and unload.
class FleetSimulation
{
public:
    FleetSimulation()
    {
        this->spec.weightsMb = 220000;
        this->spec.adapterSlots = 8;
        this->spec.loadsPerSecond = 2;
        for (int i = 0; i < Engines; ++i) {
            EngineCandidate engine;
            engine.id = "e" + std::to_string(i);
            engine.dataCentre = "dc" + std::to_string(i % 3);
            engine.startedAtMs = 1;
            engine.acceptsOrders = true;
            engine.models = {hotName(i % HotModels), "rare" + std::to_string(2 * i),
                             "rare" + std::to_string(2 * i + 1)};
            engine.onDisk = {engine.models.begin(), engine.models.end()};
            for (const auto &model : engine.models) {
                if (this->spec.findModel(model) == nullptr)
                    this->spec.models.push_back({model, 70000, 60, std::chrono::seconds(9),
                                                 milliseconds(800), milliseconds(2300)});
            }
            this->engines.push_back(std::move(engine));
        }
        // Three replicas of a busy model are utilised to 63 %, two to 95 %.
        for (const auto &model : this->spec.models) {
            const bool isHot = model.name.starts_with("hot");
            this->demand[model.name] = isHot ? PlannedDemand{20, 1.9} : PlannedDemand{0.2, 0.01};
        }
    }

    /// Crashes the first engines: they leave the list, and are listed again, empty, after a while.
    void crash(int count, Duration downTime)
    {
        for (int i = 0; i < count; ++i) {
            auto engine = this->engines.front();
            this->engines.erase(this->engines.begin());
            this->busyUntil.erase(engine.id);
            engine.models.clear();
            engine.loading.clear();
            engine.unloading.clear();
            ++engine.startedAtMs;
            this->returning.push_back(engine);
        }
        this->returnAt = this->now + downTime;
    }

    void run(Duration duration)
    {
        for (const Instant end = this->now + duration; this->now < end; this->now += Step) {
            if (!this->returning.empty() && this->now >= this->returnAt) {
                this->engines.insert(this->engines.end(), this->returning.begin(),
                                     this->returning.end());
                this->returning.clear();
            }
            for (auto &engine : this->engines)
                this->carryOut(engine);
            this->planner.plan(this->spec, this->engines, this->demand, this->now);
            this->countServed();
        }
    }

    /// Models that no engine serves.
    std::vector<std::string> missing() const
    {
        std::vector<std::string> names;
        for (const auto &model : this->spec.models) {
            if (this->holders(model.name) == 0)
                names.push_back(model.name);
        }
        return names;
    }

    double requests = 0;
    double served = 0;

private:
    void carryOut(EngineCandidate &engine)
    {
        if (this->now < this->busyUntil[engine.id])
            return;
        if (!engine.loading.empty()) {
            engine.models.push_back(std::exchange(engine.loading, ""));
            engine.onDisk.insert(engine.models.back());
        }
        if (!engine.unloading.empty())
            std::erase(engine.models, std::exchange(engine.unloading, ""));
        const auto requested = this->planner.requestedModelsFor(engine.id).value_or(engine.models);
        const auto isHeld = [&](const auto &model) {
            return std::find(engine.models.begin(), engine.models.end(), model) !=
                   engine.models.end();
        };
        const auto wanted = std::find_if_not(requested.begin(), requested.end(), isHeld);
        if (wanted == requested.end())
            return;
        if (engine.models.size() < 3) {
            engine.loading = *wanted;
            const bool hasCopy = engine.onDisk.contains(*wanted);
            this->busyUntil[engine.id] =
                this->now + (hasCopy ? milliseconds(2300) : std::chrono::seconds(9));
            return;
        }
        const auto unwanted =
            std::find_if(engine.models.begin(), engine.models.end(), [&](const auto &model) {
                return std::find(requested.begin(), requested.end(), model) == requested.end();
            });
        if (unwanted != engine.models.end()) {
            engine.unloading = *unwanted;
            this->busyUntil[engine.id] = this->now + UnloadTime;
        }
    }

    int holders(const std::string &model) const
    {
        return static_cast<int>(
            std::count_if(this->engines.begin(), this->engines.end(), [&](const auto &engine) {
                return engine.unloading != model &&
                       std::find(engine.models.begin(), engine.models.end(), model) !=
                           engine.models.end();
            }));
    }

    /// Counts each replica of a busy model as a whole engine: the rare models need only a small
    /// part.
    void countServed()
    {
        for (int i = 0; i < HotModels; ++i) {
            const auto &row = this->demand.at(hotName(i));
            const double capacity = this->holders(hotName(i));
            this->requests += row.requestsPerSecond;
            this->served += row.requestsPerSecond * std::min(1.0, capacity / row.busyEngines);
        }
    }

    EngineSpec spec;
    std::vector<EngineCandidate> engines;
    std::vector<EngineCandidate> returning;
    std::map<std::string, PlannedDemand> demand;
    std::map<std::string, Instant> busyUntil;
    Instant returnAt{};
    ReplicaPlanner planner{StoreLoadLimits{}};
    Instant now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE("A third of the engines crashes and restarts with copies on its hosts")
{
    FleetSimulation simulation;
    simulation.run(std::chrono::seconds(5));
    CHECK(simulation.served == doctest::Approx(simulation.requests));
    // Each busy model loses one of its three replicas.
    simulation.crash(8, std::chrono::seconds(2));
    simulation.run(std::chrono::seconds(20));

    SUBCASE("nearly all requests for busy models are served")
    {
        CHECK(simulation.served / simulation.requests > 0.999);
    }
    SUBCASE("and every model is reachable again")
    {
        CHECK(simulation.missing().empty());
    }
}
