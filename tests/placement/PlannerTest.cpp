// Tests properties of plans and the rules for single moves.
#include "placement/Planner.h"
#include "support/Property.h"

#include <random>

namespace tray::test {

namespace {

constexpr uint64_t Gb = 1'000'000'000;

/// Engines, models, demand and the current plan.
struct Site
{
    std::vector<proto::CatalogueObject> objects;
    std::vector<std::shared_ptr<const proto::UpstreamStatus>> statuses;
    std::map<std::string, uint64_t> memory;
    DemandTracker demand;
    PlacementPlan current;
    Instant now{std::chrono::hours(1)};

    void addEngine(const std::string &name, uint64_t memoryBytes, const std::string &region)
    {
        auto status = std::make_shared<proto::UpstreamStatus>();
        status->set_upstream(name);
        status->set_pool("gpu");
        status->set_region(region);
        status->set_memory_bytes(memoryBytes);
        status->set_concurrency(16);
        this->memory[name] = memoryBytes;
        this->statuses.push_back(std::move(status));
    }

    void addModel(const std::string &name, uint64_t bytes, uint32_t minimum, uint32_t tokens = 4000)
    {
        proto::CatalogueObject object;
        object.set_name(name);
        proto::Model &model = *object.mutable_model();
        model.set_pool("gpu");
        model.set_version("1");
        model.set_weight_bytes(bytes);
        model.set_min_replicas(minimum);
        model.set_kv_bytes_per_token(100000);
        model.set_max_context_tokens(tokens);
        this->objects.push_back(object);
    }

    void addAdapter(const std::string &name, const std::string &base, uint64_t bytes)
    {
        proto::CatalogueObject object;
        object.set_name(name);
        object.mutable_adapter()->set_base_model(base);
        object.mutable_adapter()->set_bytes(bytes);
        this->objects.push_back(object);
    }

    /// Adds the same demand in each of the following seconds.
    void addDemand(const std::map<std::pair<std::string, std::string>, uint32_t> &tokens,
                   int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            this->now += std::chrono::seconds(1);
            for (const auto &[key, amount] : tokens) {
                proto::Demand row;
                row.set_name(key.first);
                row.set_region(key.second);
                row.set_requests(amount / 500 + 1);
                row.set_tokens(amount);
                this->demand.add(row, this->now);
            }
        }
    }

    /// Makes a plan and applies it. Returns the number of models added or removed and adapters
    /// added.
    size_t plan()
    {
        const Catalogue catalogue(1, this->objects);
        const PlanInput input{catalogue, this->statuses, this->demand, this->current};
        const PlacementPlan made = *makePlanner("planned")->plan(input, this->now);
        size_t moves = 0;
        for (const auto &[name, items] : made) {
            const EngineItems &before = this->current[name];
            for (const auto &model : items.models)
                moves += before.models.contains(model) ? 0 : 1;
            for (const auto &model : before.models)
                moves += items.models.contains(model) ? 0 : 1;
            for (const auto &adapter : items.adapters)
                moves += before.adapters.contains(adapter) ? 0 : 1;
        }
        this->current = made;
        return moves;
    }

    size_t replicas(const std::string &model) const
    {
        size_t count = 0;
        for (const auto &[name, items] : this->current)
            count += items.models.count(model);
        return count;
    }

    /// Returns an engine of the current plan whose items, with one context per model, exceed its
    /// memory.
    std::string findOvercommitted() const
    {
        const Catalogue catalogue(1, this->objects);
        for (const auto &[name, items] : this->current) {
            uint64_t sum = 0;
            for (const auto &model : items.models)
                sum += replicaBytes(*catalogue.findModel(model));
            for (const auto &adapter : items.adapters) {
                if (!items.models.contains(catalogue.findAdapter(adapter)->base_model()))
                    return name + " holds an adapter without its model";
                sum += catalogue.findAdapter(adapter)->bytes();
            }
            if (sum > this->memory.at(name))
                return name;
        }
        return "";
    }

    static uint64_t replicaBytes(const proto::Model &model)
    {
        return model.weight_bytes() +
               uint64_t{model.kv_bytes_per_token()} * model.max_context_tokens();
    }

    /// Whether all required replicas fit by first-fit decreasing, including adapters and a reserve
    /// of 1/16.
    bool requiredReplicasFit() const
    {
        const Catalogue catalogue(1, this->objects);
        std::vector<std::pair<uint64_t, std::string>> replicas;
        for (const auto &[name, model] : catalogue.models()) {
            uint64_t bytes = replicaBytes(model);
            for (const auto &[adapterName, adapter] : catalogue.adapters())
                bytes += adapter.base_model() == name ? adapter.bytes() : 0;
            replicas.insert(replicas.end(), std::max(1u, model.min_replicas()), {bytes, name});
        }
        std::stable_sort(replicas.begin(), replicas.end(), [](const auto &left, const auto &right) {
            return left.first > right.first;
        });
        std::map<std::string, std::pair<uint64_t, std::set<std::string>>> used;
        for (const auto &[bytes, model] : replicas) {
            bool isPlaced = false;
            for (const auto &[name, size] : this->memory) {
                auto &[sum, held] = used[name];
                if (isPlaced || held.contains(model) || sum + bytes > size - size / 16)
                    continue;
                sum += bytes;
                held.insert(model);
                isPlaced = true;
            }
            if (!isPlaced)
                return false;
        }
        return true;
    }
};

using Demands = std::map<std::pair<std::string, std::string>, uint32_t>;

/// Random site whose current plan was made for an earlier demand.
Site randomSite(uint64_t seed, Demands &demands)
{
    std::mt19937_64 random(seed);
    const auto randomBelow = [&](uint64_t limit) { return random() % limit; };
    Site site;
    const uint64_t engines = 1 + randomBelow(9);
    for (uint64_t i = 0; i < engines; ++i)
        site.addEngine("e" + std::to_string(i), (20 + randomBelow(60)) * Gb,
                       i % 3 == 0 ? "n" : "c");
    const uint64_t models = 1 + randomBelow(14);
    for (uint64_t i = 0; i < models; ++i) {
        const std::string name = "m" + std::to_string(i);
        site.addModel(name, (1 + randomBelow(18)) * Gb, static_cast<uint32_t>(randomBelow(3)));
        for (uint64_t j = 0; j < randomBelow(4); ++j)
            site.addAdapter(name + "-a" + std::to_string(j), name, randomBelow(500'000'000));
        for (const char *region : {"n", "c"})
            demands[{name, region}] =
                static_cast<uint32_t>(randomBelow(3) == 0 ? randomBelow(900) : 0);
    }
    site.addDemand(demands, 60);
    site.plan();
    for (auto &[key, amount] : demands)
        amount = static_cast<uint32_t>(randomBelow(4) == 0 ? randomBelow(1500) : amount);
    site.addDemand(demands, 600);
    return site;
}

} // namespace

// Guards against plans that exceed the memory of an engine, or that leave a model unreachable
// although it would fit.
TEST_CASE("No plan overcommits, and each model has its required replicas where memory allows")
{
    checkProperty("plans fit", 41, 400, [](uint64_t seed) {
        Demands demands;
        Site site = randomSite(seed, demands);
        for (int round = 0; round < 3; ++round) {
            site.plan();
            RC_ASSERT(site.findOvercommitted() == "");
            if (!site.requiredReplicasFit())
                continue;
            for (const auto &object : site.objects) {
                if (object.has_model())
                    RC_ASSERT(site.replicas(object.name()) >=
                              std::max(1u, object.model().min_replicas()));
            }
            // Remove an engine; its models must be placed on others.
            if (site.statuses.size() > 1) {
                const std::string name = site.statuses.back()->upstream();
                site.statuses.pop_back();
                site.memory.erase(name);
                site.current.erase(name);
            }
        }
    });
}

// Guards against moves that alternate although the demand does not change.
TEST_CASE("A constant demand causes no moves after the first plan")
{
    checkProperty("plans are stable", 42, 300, [](uint64_t seed) {
        Demands demands;
        Site site = randomSite(seed, demands);
        site.plan();
        for (int round = 0; round < 5; ++round) {
            site.addDemand(demands, 1);
            RC_ASSERT(site.plan() == 0u);
        }
    });
}

TEST_CASE("Moves are made only if they pay off")
{
    Site site;
    site.addEngine("c1", 40 * Gb, "c");
    site.addEngine("c2", 40 * Gb, "c");
    site.addEngine("n1", 40 * Gb, "n");
    site.addModel("big", 10 * Gb, 1);
    site.addModel("small", 10 * Gb, 1);
    site.plan();
    REQUIRE(site.replicas("big") == 1);

    SUBCASE("an overloaded model gets a second replica, one with little demand does not")
    {
        site.addDemand({{{"big", "c"}, 600}, {{"small", "c"}, 20}}, 60);
        site.plan();
        CHECK(site.replicas("big") == 2);
        CHECK(site.replicas("small") <= 2);
        CHECK(site.plan() == 0);
    }
    SUBCASE("a model with demand from norte is placed in norte")
    {
        site.addDemand({{{"big", "n"}, 200}, {{"small", "c"}, 200}}, 60);
        site.plan();
        CHECK(site.current["n1"].models.contains("big"));
    }
    SUBCASE("a spare replica is evicted for a model that needs the memory")
    {
        site.addDemand({{{"big", "c"}, 900}}, 60);
        site.plan();
        const size_t before = site.replicas("big");
        for (int i = 0; i < 7; ++i)
            site.addModel("new" + std::to_string(i), 13 * Gb, 1);
        site.addDemand({{{"big", "c"}, 1}}, 120);
        site.plan();
        CHECK(site.replicas("big") < before);
        CHECK(site.findOvercommitted() == "");
    }
    SUBCASE("a few short requests cause no moves")
    {
        site.addDemand({{{"big", "c"}, 30}, {{"small", "n"}, 1}}, 3);
        CHECK(site.plan() == 0);
    }
}

// Guards against a new model that stays unreachable although its ticket was accepted: it fits only
// after other models have been moved.
TEST_CASE("A model that fits only after others were moved is placed")
{
    Site site;
    site.addEngine("e1", 30 * Gb, "c");
    site.addEngine("e2", 30 * Gb, "c");
    site.addModel("a", 12 * Gb, 1);
    site.addModel("b", 12 * Gb, 1);
    site.plan();
    REQUIRE(site.current["e1"].models.size() == 1);
    site.addModel("c", 20 * Gb, 1);
    site.plan();
    CHECK(site.replicas("a") == 1);
    CHECK(site.replicas("b") == 1);
    CHECK(site.replicas("c") == 1);
    CHECK(site.findOvercommitted() == "");
}

TEST_CASE("The on-demand strategy makes no plan")
{
    Site site;
    const Catalogue catalogue;
    const PlanInput input{catalogue, site.statuses, site.demand, site.current};
    CHECK_FALSE(makePlanner("on-demand")->plan(input, site.now));
    CHECK(makePlanner("other") == nullptr);
}

} // namespace tray::test
