// Plays demand, crashes and loads of some seconds against the planner, and counts what callers get.
//
// The load: few models get most requests, many get few; engines crash with all that they hold and
// come back empty, with copies on their hosts.
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

/// Engines that take the planner's wishes and need their time to load and unload.
class Day
{
public:
    Day()
    {
        this->spec.weightsMb = 220000;
        this->spec.adapterSlots = 8;
        this->spec.loadsPerSecond = 2;
        for (int i = 0; i < Engines; ++i) {
            PlannedEngine engine;
            engine.id = "e" + std::to_string(i);
            engine.dataCentre = "dc" + std::to_string(i % 3);
            engine.bornMs = 1;
            engine.canChange = true;
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
        // Three replicas of a busy model are at 63 in 100 of what they can do, two at 95.
        for (const auto &model : this->spec.models) {
            const bool isHot = model.name.starts_with("hot");
            this->demand[model.name] = isHot ? PlannedDemand{20, 1.9} : PlannedDemand{0.2, 0.01};
        }
    }

    /// The first engines lose all; they are listed again, empty, after a while.
    void crash(int count, Duration away)
    {
        for (int i = 0; i < count; ++i) {
            auto engine = this->engines.front();
            this->engines.erase(this->engines.begin());
            this->busyUntil.erase(engine.id);
            engine.models.clear();
            engine.loading.clear();
            engine.unloading.clear();
            ++engine.bornMs;
            this->returning.push_back(engine);
        }
        this->returnAt = this->now + away;
    }

    void play(Duration duration)
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

    /// Models that no engine answers for.
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
    void carryOut(PlannedEngine &engine)
    {
        if (this->now < this->busyUntil[engine.id])
            return;
        if (!engine.loading.empty()) {
            engine.models.push_back(std::exchange(engine.loading, ""));
            engine.onDisk.insert(engine.models.back());
        }
        if (!engine.unloading.empty())
            std::erase(engine.models, std::exchange(engine.unloading, ""));
        const auto wish = this->planner.wishFor(engine.id).value_or(engine.models);
        const auto isHeld = [&](const auto &model) {
            return std::find(engine.models.begin(), engine.models.end(), model) !=
                   engine.models.end();
        };
        const auto wanted = std::find_if_not(wish.begin(), wish.end(), isHeld);
        if (wanted == wish.end())
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
                return std::find(wish.begin(), wish.end(), model) == wish.end();
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

    /// Each busy model has its engines to itself but for the rare models' small part.
    void countServed()
    {
        for (int i = 0; i < HotModels; ++i) {
            const auto &row = this->demand.at(hotName(i));
            const double capacity = this->holders(hotName(i));
            this->requests += row.requests;
            this->served += row.requests * std::min(1.0, capacity / row.work);
        }
    }

    EngineSpec spec;
    std::vector<PlannedEngine> engines;
    std::vector<PlannedEngine> returning;
    std::map<std::string, PlannedDemand> demand;
    std::map<std::string, Instant> busyUntil;
    Instant returnAt{};
    ReplicaPlanner planner{LoadBounds{}};
    Instant now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE("A third of the engines crashes and comes back with copies on its hosts")
{
    Day day;
    day.play(std::chrono::seconds(5));
    CHECK(day.served == doctest::Approx(day.requests));
    // Each busy model loses one of its three replicas.
    day.crash(8, std::chrono::seconds(2));
    day.play(std::chrono::seconds(20));

    SUBCASE("callers of busy models notice nothing")
    {
        CHECK(day.served / day.requests > 0.999);
    }
    SUBCASE("and every model is reachable again")
    {
        CHECK(day.missing().empty());
    }
}
