// Greedy choice of moves by the work that they take off the busiest replicas.
#include "replicas/ReplicaPlanner.h"

#include <algorithm>
#include <cmath>

namespace tray {

namespace {

// What one engine does per second of one kind of work; middle values of the engines in use.
constexpr double PromptTokensPerSecond = 19000;
constexpr double OutputTokensPerSecond = 4500;
// Value of a model's first replica, above that of any work.
constexpr double FirstReplicaValue = 100;
// Value of a second replica beside its work: it survives the loss of an engine.
constexpr double SpareReplicaValue = 0.02;
// Most moves that one round grants.
constexpr int MovesPerRound = 6;

double workOf(const PlannedDemand &demand)
{
    return demand.promptTokens / PromptTokensPerSecond + demand.outputTokens / OutputTokensPerSecond;
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

/// Cost of reaching a model's weights, in the unit of gains: small against any real gain, so that it
/// only orders engines that are otherwise alike.
double reachCost(const PlannedEngine &engine, const std::string &model)
{
    if (engine.inMemory.contains(model))
        return 0;
    return engine.onDisk.contains(model) ? 0.005 : 0.05;
}

} // namespace

void ReplicaPlanner::restart(Instant now)
{
    this->grants.clear();
    this->wishes.clear();
    this->storeLoads.clear();
    this->restartedAt = now;
}

std::optional<std::vector<std::string>> ReplicaPlanner::wishFor(const std::string &engineId) const
{
    const auto found = this->wishes.find(engineId);
    return found == this->wishes.end() ? std::nullopt : std::optional(found->second);
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
    // What an earlier planner granted may begin within the first window.
    if (this->restartedAt && now < *this->restartedAt + this->bounds.window)
        return false;
    const double windowSeconds = std::chrono::duration<double>(this->bounds.window).count();
    const double allowed =
        spec.loadsPerSecond * windowSeconds * this->bounds.excess + this->bounds.constant;
    size_t counted = this->storeLoads.size();
    for (const auto &[id, grant] : this->grants)
        counted += grant.fromStore && !grant.begun ? 1 : 0;
    return static_cast<double>(counted) + 1 <= std::floor(allowed) - 1;
}

std::optional<PlannedMove>
ReplicaPlanner::bestMove(const EngineSpec &spec, const std::vector<PlannedEngine> &engines,
                         const std::map<std::string, PlannedDemand> &demand,
                         bool storeAllowed) const
{
    // Replicas as they will be once all grants are carried out.
    std::map<std::string, int> replicas;
    std::map<std::string, std::vector<std::string>> planned;
    std::map<std::string, std::set<std::string>> dataCentres;
    for (const auto &engine : engines) {
        auto &models = planned[engine.id];
        for (const auto &model : engine.models) {
            if (model != engine.unloading)
                models.push_back(model);
        }
        if (!engine.loading.empty() && !contains(models, engine.loading))
            models.push_back(engine.loading);
        if (const auto grant = this->grants.find(engine.id); grant != this->grants.end()) {
            std::erase(models, grant->second.move.unload);
            if (!contains(models, grant->second.move.load))
                models.push_back(grant->second.move.load);
        }
        for (const auto &model : models) {
            ++replicas[model];
            dataCentres[model].insert(engine.dataCentre);
        }
    }
    const auto work = [&](const std::string &model) {
        const auto found = demand.find(model);
        return found == demand.end() ? 0.0 : workOf(found->second);
    };
    // Work that one more or one less replica takes from or adds to the others.
    const auto gainOf = [&](const std::string &model, int count) {
        if (count == 0)
            return FirstReplicaValue + work(model);
        const double spare = count == 1 ? SpareReplicaValue : 0;
        return work(model) / count - work(model) / (count + 1) + spare;
    };
    std::optional<PlannedMove> best;
    double bestValue = 0;
    for (const auto &model : spec.models) {
        const double gain = gainOf(model.name, replicas[model.name]);
        for (const auto &engine : engines) {
            const auto &models = planned[engine.id];
            const bool needsStore = !engine.inMemory.contains(model.name) &&
                                    !engine.onDisk.contains(model.name);
            if (!engine.canChange || this->grants.contains(engine.id) ||
                !engine.loading.empty() || !engine.unloading.empty() ||
                contains(models, model.name) || (needsStore && !storeAllowed))
                continue;
            PlannedMove move{engine.id, model.name, "", gain};
            std::vector<std::string> after = models;
            after.push_back(model.name);
            double loss = 0;
            if (!fits(spec, after)) {
                double least = 0;
                for (const auto &victim : models) {
                    const double victimLoss = gainOf(victim, replicas[victim] - 1) * Hysteresis;
                    if (move.unload.empty() || victimLoss < least) {
                        move.unload = victim;
                        least = victimLoss;
                    }
                }
                if (move.unload.empty())
                    continue;
                std::erase(after, move.unload);
                if (!fits(spec, after))
                    continue;
                loss = least + MinGain;
            }
            const double spread = dataCentres[model.name].contains(engine.dataCentre) ? 0.01 : 0;
            const double value = gain - loss - reachCost(engine, model.name) * 0.1 - spread;
            if (value > bestValue) {
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
    this->settleGrants(engines, now);
    std::vector<PlannedMove> moves;
    for (int round = 0; round < MovesPerRound; ++round) {
        const bool storeAllowed = this->mayLoadFromStore(spec, now);
        const auto move = this->bestMove(spec, engines, demand, storeAllowed);
        if (!move)
            break;
        const auto engine = std::find_if(engines.begin(), engines.end(), [&](const auto &row) {
            return row.id == move->engineId;
        });
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
        this->wishes.emplace(engine.id, std::move(wish));
    }
    return moves;
}

} // namespace tray
