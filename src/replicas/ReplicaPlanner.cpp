// Greedy choice of moves by the work that they take off the busiest replicas.
#include "replicas/ReplicaPlanner.h"

#include <algorithm>
#include <cmath>

namespace tray {

namespace {

// Requests per second that a silent model counts for: it must stay reachable.
constexpr double ReachableRate = 0.25;
// Part of the bound on loads that a planner grants in a window, and in its first window. Together
// they stay below the bound: loads that the predecessor granted may be lost with their engines and
// are then seen by nobody.
constexpr double PlannerShare = 0.65;
constexpr double NewPlannerShare = 0.3;
// Most moves that one round grants.
constexpr int MovesPerRound = 24;

double requestsFor(const std::map<std::string, PlannedDemand> &demand, const std::string &model)
{
    const auto found = demand.find(model);
    return found == demand.end() ? 0 : found->second.requests;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

double weightsOf(const EngineSpec &spec, const std::string &model)
{
    const auto *found = spec.findModel(model);
    return found == nullptr ? spec.weightsMb : found->weightsMb;
}

/// Room that the adapters of the models on an engine may need.
double adapterRoom(const EngineSpec &spec, const std::vector<std::string> &models)
{
    double largest = 0;
    for (const auto &model : models) {
        const auto *found = spec.findModel(model);
        largest = std::max(largest, found == nullptr ? 0.0 : found->adapterMb);
    }
    return largest * spec.adapterSlots;
}

bool fits(const EngineSpec &spec, const std::vector<std::string> &models)
{
    double used = adapterRoom(spec, models);
    for (const auto &model : models)
        used += weightsOf(spec, model);
    return used <= spec.weightsMb;
}

// Cost of a second replica in one data centre, in the unit of gains.
constexpr double SpreadCost = 0.2;

bool hasCopy(const PlannedEngine &engine, const std::string &model)
{
    return engine.inMemory.contains(model) || engine.onDisk.contains(model);
}

/// Part of the time in which demand stays as it is that is left once a model is loaded.
double usefulShare(const PlannedEngine &engine, const ModelSpec &model)
{
    // Demand moves on to other models after about this time.
    constexpr Duration DemandLifetime = std::chrono::seconds(10);
    constexpr double LeastShare = 0.1;
    Duration load = model.loadTime;
    if (engine.inMemory.contains(model.name))
        load = model.memoryLoadTime;
    else if (engine.onDisk.contains(model.name))
        load = model.diskLoadTime;
    return std::max(LeastShare, 1 - std::chrono::duration<double>(load) /
                                        std::chrono::duration<double>(DemandLifetime));
}

} // namespace

void ReplicaPlanner::restart(Instant now)
{
    this->grants.clear();
    this->wishes.clear();
    this->storeLoads.clear();
    this->foreignLoads.clear();
    this->unheldSince.clear();
    this->restartedAt = now;
    this->firstListedAt.reset();
    this->settled = false;
}

bool ReplicaPlanner::isSettled(const std::vector<PlannedEngine> &engines, Instant now)
{
    if (this->settled || !this->restartedAt)
        return true;
    // An empty list has not begun to grow.
    if (engines.empty())
        return false;
    if (!this->firstListedAt)
        this->firstListedAt = now;
    this->settled =
        now >= this->listGrewAt + SettleTime || now >= *this->firstListedAt + LongestSettling;
    return this->settled;
}

std::optional<std::vector<std::string>> ReplicaPlanner::wishFor(const std::string &engineId) const
{
    const auto found = this->wishes.find(engineId);
    return found == this->wishes.end() ? std::nullopt : std::optional(found->second);
}

void ReplicaPlanner::noteForeignLoads(const std::vector<PlannedEngine> &engines, Instant now)
{
    for (const auto &engine : engines) {
        auto &seen = this->foreignLoads[engine.id];
        const auto grant = this->grants.find(engine.id);
        const bool foreign = !engine.loading.empty() && (grant == this->grants.end() ||
                                                         grant->second.move.load != engine.loading);
        if (foreign && seen != engine.loading && !engine.onDisk.contains(engine.loading) &&
            !engine.inMemory.contains(engine.loading))
            this->storeLoads.push_back(now);
        seen = foreign ? engine.loading : "";
    }
}

void ReplicaPlanner::settleGrants(const std::vector<PlannedEngine> &engines, Instant now)
{
    std::map<std::string, Grant> open;
    for (const auto &engine : engines) {
        const auto found = this->grants.find(engine.id);
        if (found == this->grants.end())
            continue;
        Grant grant = found->second;
        const bool loaded = contains(engine.models, grant.move.load);
        if (!grant.begun && (loaded || engine.loading == grant.move.load)) {
            grant.begun = true;
            if (grant.fromStore)
                this->storeLoads.push_back(now);
        }
        // A restarted engine is empty: its wishes are made anew.
        const bool sameLife = engine.bornMs == grant.bornMs;
        const bool settled =
            loaded || !sameLife || now >= grant.grantedAt + MoveTimeout || !engine.canChange;
        if (!settled) {
            open.emplace(engine.id, std::move(grant));
            continue;
        }
        // It may begin unseen: count it as begun now.
        if (!loaded && !grant.begun && grant.fromStore)
            this->storeLoads.push_back(now);
    }
    this->grants = std::move(open);
    while (!this->storeLoads.empty() && this->storeLoads.front() + this->bounds.window < now)
        this->storeLoads.pop_front();
}

bool ReplicaPlanner::mayLoadFromStore(const EngineSpec &spec, Instant now)
{
    const double windowSeconds = std::chrono::duration<double>(this->bounds.window).count();
    const double allowed =
        spec.loadsPerSecond * windowSeconds * this->bounds.excess + this->bounds.constant;
    size_t counted = this->storeLoads.size();
    for (const auto &[id, grant] : this->grants)
        counted += grant.fromStore && !grant.begun ? 1 : 0;
    const bool isNew = this->restartedAt && now < *this->restartedAt + this->bounds.window;
    return static_cast<double>(counted) + 1 <=
           std::floor(allowed * (isNew ? NewPlannerShare : PlannerShare));
}

struct ReplicaPlanner::Outlook
{
    std::map<std::string, std::vector<std::string>> models;
    std::map<std::string, int> replicas;
    // Replicas that answer now and that no grant takes away.
    std::map<std::string, int> ready;
    std::map<std::string, std::set<std::string>> dataCentres;
    // Models with a copy on the host of an engine that can be ordered.
    std::set<std::string> copied;
    std::optional<EngineLoads> loads;

    int replicasOf(const std::string &model) const { return countOf(this->replicas, model); }
    int readyOf(const std::string &model) const { return countOf(this->ready, model); }

private:
    static int countOf(const std::map<std::string, int> &counts, const std::string &model)
    {
        const auto found = counts.find(model);
        return found == counts.end() ? 0 : found->second;
    }
};

ReplicaPlanner::Outlook
ReplicaPlanner::outlook(const EngineSpec &spec, const std::vector<PlannedEngine> &engines,
                        const std::map<std::string, PlannedDemand> &demand) const
{
    Outlook outlook;
    EngineLoads::Placement placement;
    for (const auto &engine : engines) {
        auto &models = outlook.models[engine.id];
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
        if (engine.canChange) {
            outlook.copied.insert(engine.inMemory.begin(), engine.inMemory.end());
            outlook.copied.insert(engine.onDisk.begin(), engine.onDisk.end());
        }
        auto &holdings = placement[engine.id];
        for (const auto &model : models) {
            ++outlook.replicas[model];
            outlook.dataCentres[model].insert(engine.dataCentre);
            holdings.push_back({model, contains(ready, model)});
            outlook.ready[model] += holdings.back().ready ? 1 : 0;
        }
    }
    std::map<std::string, PlannedDemand> planned = demand;
    for (const auto &model : spec.models)
        planned[model.name].requests = std::max(planned[model.name].requests, ReachableRate);
    outlook.loads.emplace(placement, planned);
    return outlook;
}

void ReplicaPlanner::noteUnheld(const EngineSpec &spec, const Outlook &outlook, Instant now)
{
    for (const auto &model : spec.models) {
        if (outlook.replicasOf(model.name) == 0)
            this->unheldSince.try_emplace(model.name, now);
        else
            this->unheldSince.erase(model.name);
    }
}

std::optional<PlannedMove> ReplicaPlanner::moveFor(const EngineSpec &spec,
                                                   const PlannedEngine &engine,
                                                   const std::string &model, const Outlook &outlook,
                                                   Instant now, double &value) const
{
    const auto &models = outlook.models.at(engine.id);
    const double useful = usefulShare(engine, *spec.findModel(model));
    PlannedMove move{engine.id, model, "", outlook.loads->gainOf(engine.id, model, "") * useful};
    std::vector<std::string> after = models;
    after.push_back(model);
    double loss = MinGainOfFreeRoom;
    if (!fits(spec, after)) {
        const double margin = outlook.replicasOf(model) == 0 ? MinGainOfFreeRoom : MinGain;
        double best = 0;
        int mostReplicas = 0;
        for (const auto &victim : models) {
            const int count = outlook.readyOf(victim);
            // Every model stays reachable, whatever its demand.
            if (count <= 1 || !contains(engine.models, victim))
                continue;
            std::vector<std::string> rest = after;
            std::erase(rest, victim);
            if (!fits(spec, rest))
                continue;
            const double victimLoss = outlook.loads->lossOf(engine.id, victim) * Hysteresis;
            const double gain = outlook.loads->gainOf(engine.id, model, victim) * useful;
            const double net = gain - victimLoss;
            // Without any demand the model with most replicas can spare one.
            if (move.unload.empty() || net > best || (net == best && count > mostReplicas)) {
                move.unload = victim;
                move.gain = gain;
                loss = victimLoss + margin;
                best = net;
                mostReplicas = count;
            }
        }
        if (move.unload.empty())
            return std::nullopt;
    }
    const auto dataCentres = outlook.dataCentres.find(model);
    const bool isSpread = dataCentres == outlook.dataCentres.end() ||
                          !dataCentres->second.contains(engine.dataCentre);
    if (move.gain <= loss && !this->isOverdue(engine, model, outlook, now))
        return std::nullopt;
    value = move.gain - loss - (isSpread ? 0 : SpreadCost);
    return move;
}

bool ReplicaPlanner::isOverdue(const PlannedEngine &engine, const std::string &model,
                               const Outlook &outlook, Instant now) const
{
    // Every model is to be reachable, whatever its rate and its victim's.
    const auto unheld = this->unheldSince.find(model);
    if (outlook.replicasOf(model) != 0 || unheld == this->unheldSince.end())
        return false;
    const bool fromStore = !hasCopy(engine, model);
    return now >=
           unheld->second +
               (fromStore && outlook.copied.contains(model) ? UnheldStorePatience : UnheldPatience);
}

std::optional<PlannedMove>
ReplicaPlanner::bestMove(const EngineSpec &spec, const std::vector<PlannedEngine> &engines,
                         const std::map<std::string, PlannedDemand> &demand, bool storeAllowed,
                         Instant now) const
{
    const Outlook outlook = this->outlook(spec, engines, demand);
    std::optional<PlannedMove> best;
    double bestValue = 0;
    for (const auto &model : spec.models) {
        for (const auto &engine : engines) {
            const bool needsStore = !hasCopy(engine, model.name);
            if (!engine.canChange || this->grants.contains(engine.id) || !engine.loading.empty() ||
                !engine.unloading.empty() || contains(outlook.models.at(engine.id), model.name) ||
                (needsStore && !storeAllowed))
                continue;
            double value = 0;
            const auto move = this->moveFor(spec, engine, model.name, outlook, now, value);
            if (move && (!best || value > bestValue)) {
                bestValue = value;
                best = move;
            }
        }
    }
    return best;
}

std::vector<PlannedMove> ReplicaPlanner::plan(const EngineSpec &spec,
                                              const std::vector<PlannedEngine> &engines,
                                              const std::map<std::string, PlannedDemand> &demand,
                                              Instant now)
{
    this->noteForeignLoads(engines, now);
    this->settleGrants(engines, now);
    std::vector<PlannedMove> moves;
    if (!this->isSettled(engines, now))
        return moves;
    this->noteUnheld(spec, this->outlook(spec, engines, demand), now);
    for (int round = 0; round < MovesPerRound; ++round) {
        const bool storeAllowed = this->mayLoadFromStore(spec, now);
        const auto move = this->bestMove(spec, engines, demand, storeAllowed, now);
        if (!move)
            break;
        const auto engine = std::find_if(engines.begin(), engines.end(),
                                         [&](const auto &row) { return row.id == move->engineId; });
        Grant grant{*move, engine->bornMs, now, false, false};
        grant.fromStore =
            !engine->inMemory.contains(move->load) && !engine->onDisk.contains(move->load);
        this->grants[move->engineId] = std::move(grant);
        moves.push_back(*move);
    }
    this->wishes.clear();
    for (const auto &engine : engines) {
        if (!engine.canChange)
            continue;
        std::vector<std::string> wish = engine.models;
        if (!engine.loading.empty() && !contains(wish, engine.loading))
            wish.push_back(engine.loading);
        std::erase(wish, engine.unloading);
        if (const auto grant = this->grants.find(engine.id); grant != this->grants.end()) {
            std::erase(wish, grant->second.move.unload);
            if (!contains(wish, grant->second.move.load))
                wish.push_back(grant->second.move.load);
        }
        // The most wanted first: a steward may have to restore them without a planner.
        std::stable_sort(wish.begin(), wish.end(), [&](const auto &left, const auto &right) {
            return requestsFor(demand, left) > requestsFor(demand, right);
        });
        this->wishes.emplace(engine.id, std::move(wish));
    }
    return moves;
}

} // namespace tray
