// Greedy choice of moves by the work that they take off the busiest replicas.
#include "replicas/ReplicaPlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_map>

namespace tray {

namespace {

// Lowest demand that is assumed for a model, in requests per second: a model without requests must
// stay reachable.
constexpr double MinRequestsPerSecond = 0.25;
// Part of the limit on loads that a planner grants in a window after its first one.
constexpr double StoreLoadShare = 0.65;
// Part of the limit on loads that a planner grants in its first window. Together with the share of
// a later window it stays below the limit: loads that the predecessor granted may be lost with
// their engines, and then no planner sees them.
constexpr double NewPlannerStoreLoadShare = 0.3;
// Most moves that one plan grants.
constexpr size_t MaxMovesPerPlan = 24;
// Most times that one plan rates all moves anew.
constexpr int MaxRoundsPerPlan = 8;

double requestsFor(const std::map<std::string, PlannedDemand> &demand, const std::string &model)
{
    const auto found = demand.find(model);
    return found == demand.end() ? 0 : found->second.requestsPerSecond;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Checks whether sets of models fit into an engine; a set is checked for each pair of engine and
/// model.
class ModelSizes
{
public:
    explicit ModelSizes(const EngineSpec &spec) : spec(spec)
    {
        for (const auto &model : spec.models)
            this->models.emplace(model.name, &model);
    }

    const ModelSpec *find(const std::string &model) const
    {
        const auto found = this->models.find(model);
        return found == this->models.end() ? nullptr : found->second;
    }

    /// Memory that the models leave free, in MB, with room for their largest adapter in every slot;
    /// negative if they do not fit.
    double freeMbBeside(const std::vector<std::string> &models) const
    {
        double used = 0;
        double largestAdapter = 0;
        for (const auto &name : models) {
            const auto *model = this->find(name);
            // A model that is no longer configured may have any size.
            used += model == nullptr ? this->spec.weightsMb : model->weightsMb;
            largestAdapter = std::max(largestAdapter, model == nullptr ? 0.0 : model->adapterMb);
        }
        return this->spec.weightsMb - used - largestAdapter * this->spec.adapterSlots;
    }

    bool fit(const std::vector<std::string> &models) const
    {
        return this->freeMbBeside(models) >= 0;
    }

private:
    const EngineSpec &spec;
    std::unordered_map<std::string_view, const ModelSpec *> models;
};

// Cost of a second replica in one data centre, in requests per second like a gain.
constexpr double SameDataCentreCost = 0.2;

bool hasCopy(const EngineCandidate &engine, const std::string &model)
{
    return engine.inMemory.contains(model) || engine.onDisk.contains(model);
}

/// Part of the lifetime of a demand that is left once the model is loaded.
double usefulShare(const EngineCandidate &engine, const ModelSpec &model)
{
    // Demand shifts to other models after about this time.
    constexpr Duration DemandLifetime = std::chrono::seconds(10);
    constexpr double MinUsefulShare = 0.1;
    Duration load = model.loadTime;
    if (engine.inMemory.contains(model.name))
        load = model.memoryLoadTime;
    else if (engine.onDisk.contains(model.name))
        load = model.diskLoadTime;
    return std::max(MinUsefulShare, 1 - std::chrono::duration<double>(load) /
                                            std::chrono::duration<double>(DemandLifetime));
}

} // namespace

void ReplicaPlanner::takeRole(Instant now)
{
    this->grants.clear();
    this->requestedModels.clear();
    this->slowness.clear();
    this->storeLoadStarts.clear();
    this->ungrantedLoads.clear();
    this->unheldSince.clear();
    this->awaitedModels.clear();
    this->awaitedSince.clear();
    this->restartedAt = now;
    this->firstListedAt.reset();
    this->listSettled = false;
}

bool ReplicaPlanner::isListSettled(const std::vector<EngineCandidate> &engines, Instant now)
{
    if (this->listSettled || !this->restartedAt)
        return true;
    // An empty list has not begun to grow.
    if (engines.empty())
        return false;
    if (!this->firstListedAt)
        this->firstListedAt = now;
    this->listSettled =
        now >= this->listGrewAt + ListSettleTime || now >= *this->firstListedAt + MaxListSettleTime;
    return this->listSettled;
}

std::optional<std::vector<std::string>>
ReplicaPlanner::requestedModelsFor(const std::string &engineId) const
{
    const auto found = this->requestedModels.find(engineId);
    return found == this->requestedModels.end() ? std::nullopt : std::optional(found->second);
}

void ReplicaPlanner::noteSlowness(const std::vector<EngineCandidate> &engines, Instant now)
{
    std::map<std::string, TrackedSlowness> next;
    for (const auto &engine : engines) {
        TrackedSlowness tracked{engine.startedAtMs, {}};
        const auto found = this->slowness.find(engine.id);
        if (found != this->slowness.end() && found->second.startedAtMs == engine.startedAtMs)
            tracked = found->second;
        tracked.filter.add(engine.slowness, now);
        next.emplace(engine.id, tracked);
    }
    this->slowness = std::move(next);
}

double ReplicaPlanner::plannedSlowness(const std::string &engineId) const
{
    const auto found = this->slowness.find(engineId);
    return found == this->slowness.end() ? 1 : found->second.filter.planned();
}

void ReplicaPlanner::noteUngrantedLoads(const std::vector<EngineCandidate> &engines, Instant now)
{
    for (const auto &engine : engines) {
        auto &seen = this->ungrantedLoads[engine.id];
        const auto grant = this->grants.find(engine.id);
        const bool isUngranted =
            !engine.loading.empty() &&
            (grant == this->grants.end() || grant->second.move.load != engine.loading);
        if (isUngranted && seen != engine.loading && !engine.onDisk.contains(engine.loading) &&
            !engine.inMemory.contains(engine.loading))
            this->storeLoadStarts.push_back(now);
        seen = isUngranted ? engine.loading : "";
    }
}

void ReplicaPlanner::closeGrants(const std::vector<EngineCandidate> &engines, Instant now)
{
    std::map<std::string, Grant> open;
    for (const auto &engine : engines) {
        const auto found = this->grants.find(engine.id);
        if (found == this->grants.end())
            continue;
        Grant grant = found->second;
        const bool loaded = contains(engine.models, grant.move.load);
        if (!grant.loadBegan && (loaded || engine.loading == grant.move.load)) {
            grant.loadBegan = true;
            if (grant.fromStore)
                this->storeLoadStarts.push_back(now);
        }
        // A restarted engine is empty and is planned anew.
        const bool sameIncarnation = engine.startedAtMs == grant.startedAtMs;
        const bool closed = loaded || !sameIncarnation || now >= grant.grantedAt + MoveTimeout ||
                            !engine.acceptsOrders;
        if (!closed) {
            open.emplace(engine.id, std::move(grant));
            continue;
        }
        // The load may still begin without being reported, so it counts as begun now.
        if (!loaded && !grant.loadBegan && grant.fromStore)
            this->storeLoadStarts.push_back(now);
    }
    this->grants = std::move(open);
    while (!this->storeLoadStarts.empty() &&
           this->storeLoadStarts.front() + this->limits.window < now)
        this->storeLoadStarts.pop_front();
}

bool ReplicaPlanner::mayLoadFromStore(const EngineSpec &spec, Instant now)
{
    const double windowSeconds = std::chrono::duration<double>(this->limits.window).count();
    const double allowed =
        spec.loadsPerSecond * windowSeconds * this->limits.rateFactor + this->limits.burst;
    size_t counted = this->storeLoadStarts.size();
    for (const auto &[id, grant] : this->grants)
        counted += grant.fromStore && !grant.loadBegan ? 1 : 0;
    const bool isNew = this->restartedAt && now < *this->restartedAt + this->limits.window;
    return static_cast<double>(counted) + 1 <=
           std::floor(allowed * (isNew ? NewPlannerStoreLoadShare : StoreLoadShare));
}

struct ReplicaPlanner::PlannedState
{
    std::map<std::string, std::vector<std::string>> models;
    std::map<std::string, int> replicas;
    // Replicas that answer now and that no grant drops.
    std::map<std::string, int> ready;
    std::map<std::string, std::set<std::string>> dataCentres;
    // Models with a copy on the host of an engine that accepts orders.
    std::set<std::string> copied;
    // Replicas at the engines of each software version that are not leaving; those that answer now
    // and that no grant drops; and models with a copy on the host of such an engine.
    std::map<VersionedModel, int> versionReplicas;
    std::map<VersionedModel, int> versionReady;
    std::set<VersionedModel> versionCopied;
    std::optional<EngineLoads> loads;
    std::optional<ModelSizes> sizes;

    int replicasOf(const std::string &model) const { return countOf(this->replicas, model); }
    int readyOf(const std::string &model) const { return countOf(this->ready, model); }
    int replicasOf(const VersionedModel &model) const
    {
        return countOf(this->versionReplicas, model);
    }
    int readyOf(const VersionedModel &model) const { return countOf(this->versionReady, model); }

private:
    template <typename Key>
    static int countOf(const std::map<Key, int> &counts, const Key &model)
    {
        const auto found = counts.find(model);
        return found == counts.end() ? 0 : found->second;
    }
};

ReplicaPlanner::PlannedState
ReplicaPlanner::makePlannedState(const EngineSpec &spec,
                                 const std::vector<EngineCandidate> &engines,
                                 const std::map<std::string, PlannedDemand> &demand) const
{
    PlannedState state;
    EngineLoads::Placement placement;
    EngineLoads::Slowness slowness;
    for (const auto &engine : engines) {
        slowness.emplace(engine.id, this->plannedSlowness(engine.id));
        auto &models = state.models[engine.id];
        for (const auto &model : engine.models) {
            if (model != engine.unloading)
                models.push_back(model);
        }
        std::vector<std::string> ready = models;
        if (!engine.loading.empty() && !contains(models, engine.loading))
            models.push_back(engine.loading);
        if (const auto grant = this->grants.find(engine.id); grant != this->grants.end()) {
            const auto &move = grant->second.move;
            std::erase(models, move.unload);
            std::erase(ready, move.unload);
            if (!contains(models, move.load))
                models.push_back(move.load);
        }
        if (engine.acceptsOrders) {
            state.copied.insert(engine.inMemory.begin(), engine.inMemory.end());
            state.copied.insert(engine.onDisk.begin(), engine.onDisk.end());
        }
        const auto atVersion = [&](const std::string &model) {
            return VersionedModel{model, engine.softwareVersion};
        };
        if (engine.acceptsOrders) {
            for (const auto &model : this->awaitedModels) {
                if (model.softwareVersion == engine.softwareVersion && hasCopy(engine, model.model))
                    state.versionCopied.insert(model);
            }
        }
        auto &holdings = placement[engine.id];
        for (const auto &model : models) {
            ++state.replicas[model];
            state.dataCentres[model].insert(engine.dataCentre);
            holdings.push_back({model, contains(ready, model)});
            state.ready[model] += holdings.back().ready ? 1 : 0;
            if (!engine.leaving && this->awaitedModels.contains(atVersion(model))) {
                ++state.versionReplicas[atVersion(model)];
                state.versionReady[atVersion(model)] += holdings.back().ready ? 1 : 0;
            }
        }
    }
    std::map<std::string, PlannedDemand> planned = demand;
    for (const auto &model : spec.models)
        planned[model.name].requestsPerSecond =
            std::max(planned[model.name].requestsPerSecond, MinRequestsPerSecond);
    state.loads.emplace(placement, planned, slowness);
    state.sizes.emplace(spec);
    return state;
}

void ReplicaPlanner::noteUnheld(const EngineSpec &spec, const PlannedState &state, Instant now)
{
    for (const auto &model : spec.models) {
        if (state.replicasOf(model.name) == 0)
            this->unheldSince.try_emplace(model.name, now);
        else
            this->unheldSince.erase(model.name);
    }
    std::erase_if(this->awaitedSince, [&](const auto &item) {
        return !this->awaitedModels.contains(item.first) || state.replicasOf(item.first) != 0;
    });
    for (const auto &model : this->awaitedModels) {
        if (state.replicasOf(model) == 0)
            this->awaitedSince.try_emplace(model, now);
    }
}

std::vector<ReplicaPlanner::Victim> ReplicaPlanner::victimsOn(const EngineCandidate &engine,
                                                              const PlannedState &state) const
{
    std::vector<Victim> victims;
    for (const auto &model : state.models.at(engine.id)) {
        // Every model keeps a ready replica, whatever its demand.
        const int replicas = state.readyOf(model);
        // Likewise at the only version whose engines may go on with streams that have just waited.
        const VersionedModel versioned{model, engine.softwareVersion};
        const bool isAwaited =
            this->awaitedModels.contains(versioned) && state.readyOf(versioned) <= 1;
        if (replicas > 1 && !isAwaited && contains(engine.models, model))
            victims.push_back(
                {model, state.loads->replicaLoss(engine.id, model) * EvictionLossFactor, replicas});
    }
    return victims;
}

std::optional<ReplicaPlanner::RatedMove>
ReplicaPlanner::bestMoveFor(const EngineCandidate &engine, const std::vector<Victim> &victims,
                            const std::string &model, const PlannedState &state, Instant now) const
{
    const auto &models = state.models.at(engine.id);
    const double useful = usefulShare(engine, *state.sizes->find(model));
    PlannedMove move{engine.id, model, "", state.loads->replicaGain(engine.id, model, "") * useful};
    move.isForContinuation = this->isAwaitedTooLong(engine, model, state, now);
    std::vector<std::string> after = models;
    after.push_back(model);
    double loss = MinGainForFreeMemory;
    if (!state.sizes->fit(after)) {
        const double margin = state.replicasOf(model) == 0 ? MinGainForFreeMemory : MinGain;
        double best = 0;
        int mostReplicas = 0;
        for (const auto &victim : victims) {
            std::vector<std::string> rest = after;
            std::erase(rest, victim.model);
            if (!state.sizes->fit(rest))
                continue;
            const double gain = state.loads->replicaGain(engine.id, model, victim.model) * useful;
            const double net = gain - victim.loss;
            // Without any demand the model with the most replicas can spare one.
            if (move.unload.empty() || net > best ||
                (net == best && victim.replicas > mostReplicas)) {
                move.unload = victim.model;
                move.gain = gain;
                loss = victim.loss + margin;
                best = net;
                mostReplicas = victim.replicas;
            }
        }
        if (move.unload.empty())
            return std::nullopt;
    }
    const auto dataCentres = state.dataCentres.find(model);
    const bool isSpread =
        dataCentres == state.dataCentres.end() || !dataCentres->second.contains(engine.dataCentre);
    if (move.gain <= loss && !move.isForContinuation &&
        !this->isUnheldTooLong(engine, model, state, now))
        return std::nullopt;
    const double value = move.gain - loss - (isSpread ? 0 : SameDataCentreCost) +
                         (move.isForContinuation ? ContinuationGain : 0);
    move.slowness = this->plannedSlowness(engine.id);
    return RatedMove{std::move(move), value, !hasCopy(engine, model)};
}

bool ReplicaPlanner::isUnheldTooLong(const EngineCandidate &engine, const std::string &model,
                                     const PlannedState &state, Instant now) const
{
    // Every model must be reachable, whatever its demand and that of the victim.
    const auto unheld = this->unheldSince.find(model);
    if (state.replicasOf(model) != 0 || unheld == this->unheldSince.end())
        return false;
    const bool fromStore = !hasCopy(engine, model);
    return now >= unheld->second + (fromStore && state.copied.contains(model) ? UnheldStoreTimeout
                                                                              : UnheldTimeout);
}

bool ReplicaPlanner::isAwaitedTooLong(const EngineCandidate &engine, const std::string &model,
                                      const PlannedState &state, Instant now) const
{
    const VersionedModel versioned{model, engine.softwareVersion};
    const auto awaited = this->awaitedSince.find(versioned);
    if (awaited == this->awaitedSince.end() || state.replicasOf(versioned) != 0)
        return false;
    Duration timeout = AwaitedTimeout;
    if (!hasCopy(engine, model))
        timeout = state.versionCopied.contains(versioned) ? UnheldStoreTimeout : UnheldTimeout;
    return now >= awaited->second + timeout;
}

std::vector<ReplicaPlanner::RatedMove>
ReplicaPlanner::profitableMoves(const EngineSpec &spec, const std::vector<EngineCandidate> &engines,
                                const PlannedState &state, bool storeAllowed, Instant now) const
{
    double smallestMb = std::numeric_limits<double>::infinity();
    for (const auto &model : spec.models)
        smallestMb = std::min(smallestMb, model.weightsMb);
    // Upper bound on each model's gain on any engine. Hundreds of models have nothing to gain and
    // are not rated for hundreds of engines.
    std::vector<double> mostGain;
    mostGain.reserve(spec.models.size());
    for (const auto &model : spec.models)
        mostGain.push_back(state.loads->maxReplicaGain(model.name));
    std::vector<RatedMove> moves;
    for (const auto &engine : engines) {
        if (!engine.acceptsOrders || this->grants.contains(engine.id) || !engine.loading.empty() ||
            !engine.unloading.empty())
            continue;
        const auto &models = state.models.at(engine.id);
        const auto victims = this->victimsOn(engine, state);
        double leastLoss = std::numeric_limits<double>::infinity();
        for (const auto &victim : victims)
            leastLoss = std::min(leastLoss, victim.loss + MinGain);
        if (state.sizes->freeMbBeside(models) >= smallestMb)
            leastLoss = std::min(leastLoss, MinGainForFreeMemory);
        for (size_t i = 0; i < spec.models.size(); ++i) {
            const auto &name = spec.models[i].name;
            // A model that no engine holds is loaded whatever it gains, once it has been unheld for
            // too long.
            const bool mayPay = mostGain[i] > leastLoss || state.replicasOf(name) == 0 ||
                                this->awaitedSince.contains({name, engine.softwareVersion});
            if (!mayPay || contains(models, name) || (!storeAllowed && !hasCopy(engine, name)))
                continue;
            if (auto move = this->bestMoveFor(engine, victims, name, state, now))
                moves.push_back(std::move(*move));
        }
    }
    std::stable_sort(moves.begin(), moves.end(), [](const RatedMove &left, const RatedMove &right) {
        return left.value > right.value;
    });
    return moves;
}

void ReplicaPlanner::grant(const RatedMove &move, const std::vector<EngineCandidate> &engines,
                           Instant now)
{
    const auto engine = std::find_if(engines.begin(), engines.end(),
                                     [&](const auto &row) { return row.id == move.move.engineId; });
    this->grants[move.move.engineId] =
        Grant{move.move, engine->startedAtMs, now, move.fromStore, false};
}

std::vector<PlannedMove> ReplicaPlanner::plan(const EngineSpec &spec,
                                              const std::vector<EngineCandidate> &engines,
                                              const std::map<std::string, PlannedDemand> &demand,
                                              Instant now)
{
    this->noteSlowness(engines, now);
    this->noteUngrantedLoads(engines, now);
    this->closeGrants(engines, now);
    std::vector<PlannedMove> moves;
    if (!this->isListSettled(engines, now))
        return moves;
    this->noteUnheld(spec, this->makePlannedState(spec, engines, demand), now);
    bool found = true;
    for (int round = 0; found && round < MaxRoundsPerPlan; ++round) {
        const PlannedState state = this->makePlannedState(spec, engines, demand);
        found = false;
        // The gain of a move holds until another move changes its engine or one of its models.
        std::set<std::string> touched;
        for (const auto &rated :
             this->profitableMoves(spec, engines, state, this->mayLoadFromStore(spec, now), now)) {
            const auto &move = rated.move;
            if (moves.size() >= MaxMovesPerPlan)
                return this->updateRequestedModels(engines, demand, std::move(moves));
            if (touched.contains(move.engineId) || touched.contains(move.load) ||
                (!move.unload.empty() && touched.contains(move.unload)) ||
                (rated.fromStore && !this->mayLoadFromStore(spec, now)))
                continue;
            touched.insert({move.engineId, move.load, move.unload});
            this->grant(rated, engines, now);
            moves.push_back(move);
            found = true;
        }
    }
    return this->updateRequestedModels(engines, demand, std::move(moves));
}

std::vector<PlannedMove>
ReplicaPlanner::updateRequestedModels(const std::vector<EngineCandidate> &engines,
                                      const std::map<std::string, PlannedDemand> &demand,
                                      std::vector<PlannedMove> moves)
{
    this->requestedModels.clear();
    for (const auto &engine : engines) {
        if (!engine.acceptsOrders)
            continue;
        std::vector<std::string> requested = engine.models;
        if (!engine.loading.empty() && !contains(requested, engine.loading))
            requested.push_back(engine.loading);
        std::erase(requested, engine.unloading);
        if (const auto grant = this->grants.find(engine.id); grant != this->grants.end()) {
            std::erase(requested, grant->second.move.unload);
            if (!contains(requested, grant->second.move.load))
                requested.push_back(grant->second.move.load);
        }
        // The most requested models come first: a steward may have to restore them without a
        // planner.
        std::stable_sort(requested.begin(), requested.end(),
                         [&](const auto &left, const auto &right) {
                             return requestsFor(demand, left) > requestsFor(demand, right);
                         });
        this->requestedModels.emplace(engine.id, std::move(requested));
    }
    return moves;
}

} // namespace tray
