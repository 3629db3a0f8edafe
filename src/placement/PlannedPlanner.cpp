// Greedy planning over a PlacementState.
#include "placement/PlannedPlanner.h"

#include <algorithm>
#include <tuple>

namespace tray {

// One more replica, and the spare replicas that leave its engine for it.
struct PlannedPlanner::Change
{
    double net = 0;
    std::string model;
    size_t engine = 0;
    std::vector<std::string> evicted;
};

namespace {

/// Names of all models, most wanted first.
std::vector<std::string> modelsByDemand(const PlacementState &state)
{
    std::vector<std::string> names;
    for (const auto &[name, model] : state.catalogue().models())
        names.push_back(name);
    std::stable_sort(names.begin(), names.end(), [&](const auto &left, const auto &right) {
        return state.tokens(left) > state.tokens(right);
    });
    return names;
}

/// Region with the most demand for a model; empty if there is none.
std::string homeRegion(const PlacementState &state, const std::string &model)
{
    std::string home;
    double most = 0;
    for (const auto &[region, rate] : state.rates(model)) {
        if (rate > most)
            std::tie(home, most) = std::tie(region, rate);
    }
    return home;
}

/// Engines in order of preference for one more replica: region of demand, then part in use.
std::vector<size_t> enginesFor(const PlacementState &state, const std::string &model)
{
    const std::string pool = state.catalogue().findModel(model)->pool();
    const std::string home = homeRegion(state, model);
    std::vector<size_t> order;
    for (size_t i = 0; i < state.engines().size(); ++i) {
        if (state.engines()[i].pool == pool && !state.engines()[i].items.models.contains(model))
            order.push_back(i);
    }
    const auto rank = [&](size_t i) {
        const PlannedEngine &engine = state.engines()[i];
        const double use = engine.load / std::max(engine.capacity, 1.0);
        return std::tuple(engine.region != home, use, engine.items.models.size());
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](size_t left, size_t right) { return rank(left) < rank(right); });
    return order;
}

/// Replicas beyond the minimum on an engine, least loaded first.
std::vector<std::string> sparesOn(const PlacementState &state, size_t engine)
{
    std::vector<std::string> spares;
    for (const std::string &name : state.engines()[engine].items.models) {
        const proto::Model &held = *state.catalogue().findModel(name);
        if (state.replicas(name).size() > PlacementState::required(held))
            spares.push_back(name);
    }
    const auto share = [&](const std::string &name) {
        return state.tokens(name) / static_cast<double>(state.replicas(name).size());
    };
    std::stable_sort(spares.begin(), spares.end(), [&](const auto &left, const auto &right) {
        return share(left) < share(right);
    });
    return spares;
}

/// Takes spare replicas off an engine until a model fits; false, and no change, if it never does.
bool makeRoom(PlacementState &state, const std::string &model, size_t engine)
{
    PlacementState trial(state, false);
    for (const std::string &name : sparesOn(state, engine)) {
        if (trial.canAdd(model, engine))
            break;
        trial.removeModel(name, engine);
    }
    const bool hasRoom = trial.canAdd(model, engine);
    if (hasRoom)
        state = std::move(trial);
    return hasRoom;
}

/// Adds a replica; the first one gets all adapters, so that each of them is reachable.
void addRequiredAt(PlacementState &state, const std::string &model, size_t engine)
{
    state.addModel(model, engine);
    if (state.replicas(model).size() > 1)
        return;
    for (const auto &[name, adapter] : state.catalogue().adapters()) {
        if (adapter.base_model() == model && state.canAddAdapter(name, engine))
            state.addAdapter(name, engine);
    }
}

bool addRequired(PlacementState &state, const std::string &model)
{
    const uint64_t adapters = state.adapterBytes(model);
    const std::vector<size_t> order = enginesFor(state, model);
    for (const uint64_t extra : {adapters, uint64_t{0}}) {
        for (const size_t engine : order) {
            if (state.canAdd(model, engine, extra)) {
                addRequiredAt(state, model, engine);
                return true;
            }
        }
    }
    for (const size_t engine : order) {
        if (makeRoom(state, model, engine)) {
            addRequiredAt(state, model, engine);
            return true;
        }
    }
    return false;
}

/// Adds missing minimum replicas in the given order; returns how many found no room.
size_t addAllRequired(PlacementState &state, const std::vector<std::string> &order)
{
    size_t missing = 0;
    for (const std::string &name : order) {
        const uint32_t required = PlacementState::required(*state.catalogue().findModel(name));
        while (state.replicas(name).size() < required) {
            if (!addRequired(state, name)) {
                missing += required - state.replicas(name).size();
                break;
            }
        }
    }
    return missing;
}

/// First-fit decreasing on empty engines, by the accounting with which tickets are checked for
/// room; what finds no room that way is placed wherever it fits.
size_t repack(PlacementState &state)
{
    std::vector<std::string> order;
    for (const auto &[name, model] : state.catalogue().models())
        order.push_back(name);
    std::stable_sort(order.begin(), order.end(), [&](const auto &left, const auto &right) {
        return state.replicaBytes(left) > state.replicaBytes(right);
    });
    std::vector<uint64_t> room;
    for (const PlannedEngine &engine : state.engines())
        room.push_back(engine.loadableBytes());
    for (const std::string &name : order) {
        const uint64_t bytes = state.replicaBytes(name);
        uint32_t required = PlacementState::required(*state.catalogue().findModel(name));
        for (size_t engine = 0; engine < room.size() && required > 0; ++engine) {
            if (room[engine] >= bytes && state.canAdd(name, engine)) {
                addRequiredAt(state, name, engine);
                room[engine] -= bytes;
                --required;
            }
        }
    }
    return addAllRequired(state, order);
}

/// Every adapter on one replica at least, and on more if its share of the base model's demand is
/// more than one replica's. Replicas that already hold adapters of the same model are filled first.
void placeAdapters(PlacementState &state)
{
    std::vector<std::string> order;
    for (const auto &[name, adapter] : state.catalogue().adapters())
        order.push_back(name);
    std::stable_sort(order.begin(), order.end(), [&](const auto &left, const auto &right) {
        return state.tokens(left) > state.tokens(right);
    });
    for (const std::string &name : order) {
        const std::string &base = state.catalogue().findAdapter(name)->base_model();
        std::vector<size_t> holders = state.replicas(base);
        const double baseTokens = std::max(state.tokens(base), 1.0);
        const double share = state.tokens(name) / baseTokens;
        const double wanted = std::max(1.0, share * static_cast<double>(holders.size()));
        size_t count = 0;
        for (const size_t engine : holders)
            count += state.engines()[engine].items.adapters.contains(name) ? 1 : 0;
        for (const size_t engine : holders) {
            if (static_cast<double>(count) + 0.5 >= wanted && count > 0)
                break;
            if (state.canAddAdapter(name, engine)) {
                state.addAdapter(name, engine);
                ++count;
            }
        }
    }
}

/// Models that one more replica may help: those on an engine with more load than it answers in
/// time, and those whose demand crosses the region link. Most wanted first.
std::vector<std::string> modelsInNeed(const PlacementState &state, size_t limit)
{
    std::vector<std::string> names;
    for (const std::string &name : modelsByDemand(state)) {
        const std::vector<size_t> &holders = state.replicas(name);
        const bool isHot = std::any_of(holders.begin(), holders.end(), [&](size_t i) {
            return state.engines()[i].load > state.engines()[i].usefulCapacity();
        });
        if (names.size() < limit && (isHot || state.crosses(name)))
            names.push_back(name);
    }
    return names;
}

} // namespace

// Looks at the engine as it is and after each eviction, whether or not the eviction is needed for
// room: a plan that rests must also rest once adapters fill the remaining room.
void PlannedPlanner::tryEngine(PlacementState &scratch, const std::string &model, size_t engine,
                               double before, Change &best) const
{
    const EngineItems items = scratch.engines()[engine].items;
    const std::vector<std::string> spares = sparesOn(scratch, engine);
    const double share =
        scratch.tokens(model) / static_cast<double>(scratch.replicas(model).size() + 1);
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
        if (!scratch.canAdd(model, engine))
            continue;
        scratch.addModel(model, engine);
        const double gained = scratch.expectedAttainment() - before;
        scratch.removeModel(model, engine);
        const double net = gained * horizon - cost * static_cast<double>(1 + evictions);
        if (net > best.net && gained > this->settings.hysteresis * share)
            best = {net, model, engine, evicted};
    }
    for (const std::string &name : evicted)
        scratch.addModel(name, engine);
    for (const std::string &name : items.adapters) {
        if (scratch.canAddAdapter(name, engine))
            scratch.addAdapter(name, engine);
    }
}

bool PlannedPlanner::addOneSpare(PlacementState &state) const
{
    const double before = state.expectedAttainment();
    PlacementState scratch(state, false);
    Change best;
    for (const std::string &model : modelsInNeed(state, this->settings.modelsConsidered)) {
        std::vector<size_t> engines = enginesFor(state, model);
        engines.resize(std::min(engines.size(), this->settings.enginesConsidered));
        for (const size_t engine : engines)
            this->tryEngine(scratch, model, engine, before, best);
    }
    if (best.model.empty())
        return false;
    for (const std::string &name : best.evicted)
        state.removeModel(name, best.engine);
    state.addModel(best.model, best.engine);
    return true;
}

PlacementPlan PlannedPlanner::finish(PlacementState &state) const
{
    for (size_t moves = 0; moves < this->settings.movesPerPass && this->addOneSpare(state); ++moves)
        continue;
    placeAdapters(state);
    return state.plan();
}

PlacementPlan PlannedPlanner::pass(const PlanInput &input, Instant now) const
{
    PlacementState state(input, now);
    const size_t missing = addAllRequired(state, modelsByDemand(state));
    if (missing > 0) {
        // Only a new packing may give each model its minimum; that is worth any number of moves.
        PlacementState packed(state, true);
        if (repack(packed) < missing)
            return this->finish(packed);
    }
    return this->finish(state);
}

// A spare replica can make another replica movable, so passes follow until nothing changes.
std::optional<PlacementPlan> PlannedPlanner::plan(const PlanInput &input, Instant now) const
{
    PlacementPlan made = this->pass(input, now);
    for (size_t passes = 1; passes < this->settings.passes; ++passes) {
        const PlanInput again{input.catalogue, input.statuses, input.demand, made};
        PlacementPlan next = this->pass(again, now);
        if (next == made)
            break;
        made = std::move(next);
    }
    return made;
}

} // namespace tray
