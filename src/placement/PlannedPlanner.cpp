// Improves a PlacementState greedily, one replica at a time.
#include "placement/PlannedPlanner.h"

#include <algorithm>
#include <tuple>

namespace tray {

// Addition of a replica, with the spare replicas that are evicted from its engine.
struct PlannedPlanner::Change
{
    double net = 0;
    std::string model;
    size_t engine = 0;
    std::vector<std::string> evicted;
};

namespace {

/// Names of all models, in order of decreasing demand.
std::vector<std::string> modelsByDemand(const PlacementState &state)
{
    std::vector<std::string> names;
    for (const auto &[name, model] : state.catalogue().models())
        names.push_back(name);
    std::stable_sort(names.begin(), names.end(), [&](const auto &left, const auto &right) {
        return state.tokenRate(left) > state.tokenRate(right);
    });
    return names;
}

/// Region with the highest demand for a model; empty if it has no demand.
std::string mainDemandRegion(const PlacementState &state, const std::string &model)
{
    std::string mainRegion;
    double highestRate = 0;
    for (const auto &[region, rate] : state.rates(model)) {
        if (rate > highestRate)
            std::tie(mainRegion, highestRate) = std::tie(region, rate);
    }
    return mainRegion;
}

/// Engines in order of preference for one more replica: by region of highest demand, then by load
/// relative to capacity.
std::vector<size_t> rankEnginesFor(const PlacementState &state, const std::string &model)
{
    const std::string pool = state.catalogue().findModel(model)->pool();
    const std::string mainRegion = mainDemandRegion(state, model);
    std::vector<size_t> order;
    for (size_t i = 0; i < state.engines().size(); ++i) {
        if (state.engines()[i].pool == pool && !state.engines()[i].items.models.contains(model))
            order.push_back(i);
    }
    const auto rank = [&](size_t i) {
        const PlannedEngine &engine = state.engines()[i];
        const double use = engine.load / std::max(engine.capacity, 1.0);
        return std::tuple(engine.region != mainRegion, use, engine.items.models.size());
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](size_t left, size_t right) { return rank(left) < rank(right); });
    return order;
}

/// Models on an engine that have more replicas than required, in order of increasing load per
/// replica.
std::vector<std::string> spareReplicasOn(const PlacementState &state, size_t engine)
{
    std::vector<std::string> spares;
    for (const std::string &name : state.engines()[engine].items.models) {
        const proto::Model &held = *state.catalogue().findModel(name);
        if (state.replicas(name).size() > PlacementState::requiredReplicas(held))
            spares.push_back(name);
    }
    const auto share = [&](const std::string &name) {
        return state.tokenRate(name) / static_cast<double>(state.replicas(name).size());
    };
    std::stable_sort(spares.begin(), spares.end(), [&](const auto &left, const auto &right) {
        return share(left) < share(right);
    });
    return spares;
}

/// Evicts spare replicas from an engine until a model fits. Returns false, and changes nothing, if
/// the model does not fit even after all of them are evicted.
bool evictSparesFor(PlacementState &state, const std::string &model, size_t engine)
{
    PlacementState trial(state, false);
    for (const std::string &name : spareReplicasOn(state, engine)) {
        if (trial.canAddModel(model, engine))
            break;
        trial.removeModel(name, engine);
    }
    const bool fits = trial.canAddModel(model, engine);
    if (fits)
        state = std::move(trial);
    return fits;
}

/// Adds a replica. The first replica of a model gets all its adapters, so that each is reachable.
void addReplicaAt(PlacementState &state, const std::string &model, size_t engine)
{
    state.addModel(model, engine);
    if (state.replicas(model).size() > 1)
        return;
    for (const auto &[name, adapter] : state.catalogue().adapters()) {
        if (adapter.base_model() == model && state.canAddAdapter(name, engine))
            state.addAdapter(name, engine);
    }
}

bool addRequiredReplica(PlacementState &state, const std::string &model)
{
    const uint64_t adapters = state.adapterBytes(model);
    const std::vector<size_t> order = rankEnginesFor(state, model);
    for (const uint64_t extra : {adapters, uint64_t{0}}) {
        for (const size_t engine : order) {
            if (state.canAddModel(model, engine, extra)) {
                addReplicaAt(state, model, engine);
                return true;
            }
        }
    }
    for (const size_t engine : order) {
        if (evictSparesFor(state, model, engine)) {
            addReplicaAt(state, model, engine);
            return true;
        }
    }
    return false;
}

/// Adds the missing required replicas in the given order. Returns the number of those that did not
/// fit.
size_t addRequiredReplicas(PlacementState &state, const std::vector<std::string> &order)
{
    size_t missing = 0;
    for (const std::string &name : order) {
        const uint32_t requiredReplicas =
            PlacementState::requiredReplicas(*state.catalogue().findModel(name));
        while (state.replicas(name).size() < requiredReplicas) {
            if (!addRequiredReplica(state, name)) {
                missing += requiredReplicas - state.replicas(name).size();
                break;
            }
        }
    }
    return missing;
}

/// Places all required replicas on empty engines by first-fit decreasing, with the same memory
/// accounting as the check of tickets. Replicas that do not fit that way are placed wherever they
/// fit.
size_t repack(PlacementState &state)
{
    std::vector<std::string> order;
    for (const auto &[name, model] : state.catalogue().models())
        order.push_back(name);
    std::stable_sort(order.begin(), order.end(), [&](const auto &left, const auto &right) {
        return state.replicaBytes(left) > state.replicaBytes(right);
    });
    std::vector<uint64_t> freeBytes;
    for (const PlannedEngine &engine : state.engines())
        freeBytes.push_back(engine.loadableBytes());
    for (const std::string &name : order) {
        const uint64_t bytes = state.replicaBytes(name);
        uint32_t requiredReplicas =
            PlacementState::requiredReplicas(*state.catalogue().findModel(name));
        for (size_t engine = 0; engine < freeBytes.size() && requiredReplicas > 0; ++engine) {
            if (freeBytes[engine] >= bytes && state.canAddModel(name, engine)) {
                addReplicaAt(state, name, engine);
                freeBytes[engine] -= bytes;
                --requiredReplicas;
            }
        }
    }
    return addRequiredReplicas(state, order);
}

/// Places every adapter on at least one replica of its base model, and on more if its share of the
/// model's demand exceeds that of one replica. Replicas that already hold adapters of the same
/// model are filled first.
void placeAdapters(PlacementState &state)
{
    std::vector<std::string> order;
    for (const auto &[name, adapter] : state.catalogue().adapters())
        order.push_back(name);
    std::stable_sort(order.begin(), order.end(), [&](const auto &left, const auto &right) {
        return state.tokenRate(left) > state.tokenRate(right);
    });
    for (const std::string &name : order) {
        const std::string &base = state.catalogue().findAdapter(name)->base_model();
        std::vector<size_t> holders = state.replicas(base);
        const double baseTokens = std::max(state.tokenRate(base), 1.0);
        const double share = state.tokenRate(name) / baseTokens;
        const double targetCount = std::max(1.0, share * static_cast<double>(holders.size()));
        size_t count = 0;
        for (const size_t engine : holders)
            count += state.engines()[engine].items.adapters.contains(name) ? 1 : 0;
        for (const size_t engine : holders) {
            if (static_cast<double>(count) + 0.5 >= targetCount && count > 0)
                break;
            if (state.canAddAdapter(name, engine)) {
                state.addAdapter(name, engine);
                ++count;
            }
        }
    }
}

/// Models that may need one more replica: those on an engine with more load than it can answer in
/// time, and those with demand from a region without a replica. In order of decreasing demand.
std::vector<std::string> findUnderservedModels(const PlacementState &state, size_t limit)
{
    std::vector<std::string> names;
    for (const std::string &name : modelsByDemand(state)) {
        const std::vector<size_t> &holders = state.replicas(name);
        const bool isOverloaded = std::any_of(holders.begin(), holders.end(), [&](size_t i) {
            return state.engines()[i].load > state.engines()[i].usefulCapacity();
        });
        if (names.size() < limit && (isOverloaded || state.hasCrossRegionDemand(name)))
            names.push_back(name);
    }
    return names;
}

} // namespace

// Evaluates the engine without evictions and after each one, whether or not the memory is needed: a
// plan that is stable must also be stable after adapters fill the remaining memory.
void PlannedPlanner::evaluateEngine(PlacementState &scratch, const std::string &model,
                                    size_t engine, double before, Change &best) const
{
    const EngineItems items = scratch.engines()[engine].items;
    const std::vector<std::string> spares = spareReplicasOn(scratch, engine);
    const double share =
        scratch.tokenRate(model) / static_cast<double>(scratch.replicas(model).size() + 1);
    const double gigabytes =
        static_cast<double>(scratch.catalogue().findModel(model)->weight_bytes()) / 1e9;
    const double cost = this->settings.loadCost + this->settings.loadCostPerGb * gigabytes;
    const double horizon = std::chrono::duration<double>(this->settings.horizon).count();
    std::vector<std::string> evicted;
    for (size_t evictions = 0; evictions <= spares.size(); ++evictions) {
        if (evictions > 0) {
            evicted.push_back(spares[evictions - 1]);
            scratch.removeModel(evicted.back(), engine);
        }
        if (!scratch.canAddModel(model, engine))
            continue;
        scratch.addModel(model, engine);
        const double gain = scratch.expectedAttainment() - before;
        scratch.removeModel(model, engine);
        const double net = gain * horizon - cost * static_cast<double>(1 + evictions);
        if (net > best.net && gain > this->settings.hysteresis * share)
            best = {net, model, engine, evicted};
    }
    for (const std::string &name : evicted)
        scratch.addModel(name, engine);
    for (const std::string &name : items.adapters) {
        if (scratch.canAddAdapter(name, engine))
            scratch.addAdapter(name, engine);
    }
}

bool PlannedPlanner::addBestSpare(PlacementState &state) const
{
    const double before = state.expectedAttainment();
    PlacementState scratch(state, false);
    Change best;
    for (const std::string &model : findUnderservedModels(state, this->settings.modelsConsidered)) {
        std::vector<size_t> engines = rankEnginesFor(state, model);
        engines.resize(std::min(engines.size(), this->settings.enginesConsidered));
        for (const size_t engine : engines)
            this->evaluateEngine(scratch, model, engine, before, best);
    }
    if (best.model.empty())
        return false;
    for (const std::string &name : best.evicted)
        state.removeModel(name, best.engine);
    state.addModel(best.model, best.engine);
    return true;
}

PlacementPlan PlannedPlanner::addSparesAndAdapters(PlacementState &state) const
{
    for (size_t moves = 0; moves < this->settings.maxMovesPerPass && this->addBestSpare(state);
         ++moves)
        continue;
    placeAdapters(state);
    return state.plan();
}

PlacementPlan PlannedPlanner::runPass(const PlanInput &input, Instant now) const
{
    PlacementState state(input, now);
    const size_t missing = addRequiredReplicas(state, modelsByDemand(state));
    if (missing > 0) {
        // Only a repacked plan may give each model its required replicas; that justifies any number
        // of moves.
        PlacementState packed(state, true);
        if (repack(packed) < missing)
            return this->addSparesAndAdapters(packed);
    }
    return this->addSparesAndAdapters(state);
}

// A new spare replica can make another replica movable, so passes are repeated until nothing
// changes.
std::optional<PlacementPlan> PlannedPlanner::plan(const PlanInput &input, Instant now) const
{
    PlacementPlan made = this->runPass(input, now);
    for (size_t passes = 1; passes < this->settings.maxPasses; ++passes) {
        const PlanInput nextInput{input.catalogue, input.statuses, input.demand, made};
        PlacementPlan next = this->runPass(nextInput, now);
        if (next == made)
            break;
        made = std::move(next);
    }
    return made;
}

} // namespace tray
