// Levels the work of each model over the engines with its replicas.
#include "replicas/EngineLoads.h"

#include <algorithm>

namespace tray {

namespace {

// Utilization up to which all requests are served well. Above it the part that is served well falls
// linearly.
constexpr double UnaffectedUtilization = 0.15;
// Part of the requests that is served well at full utilization; requests beyond that are refused.
constexpr double FullUtilizationServedShare = 0.75;
// Part of a model's requests that a second replica saves on average, by surviving a failure of the
// other one.
constexpr double SecondReplicaShare = 0.03;
// Number of rounds in which the work of each model is levelled in turn; further rounds hardly
// change the result.
constexpr int LevellingRounds = 6;

} // namespace

double EngineLoads::servedShareAt(double utilization)
{
    if (utilization <= UnaffectedUtilization)
        return 1;
    if (utilization <= 1)
        return 1 - (1 - FullUtilizationServedShare) * (utilization - UnaffectedUtilization) /
                       (1 - UnaffectedUtilization);
    return FullUtilizationServedShare / utilization;
}

EngineLoads::EngineLoads(const Placement &placement,
                         const std::map<std::string, PlannedDemand> &demand,
                         const Slowness &slowness)
{
    for (const auto &[model, row] : demand)
        this->models[model].demand = row;
    for (const auto &[engine, holdings] : placement) {
        const size_t index = this->engines.size();
        this->engineIndexes.emplace(engine, index);
        auto &added = this->engines.emplace_back();
        if (const auto found = slowness.find(engine); found != slowness.end() && found->second > 0)
            added.capacity = 1 / found->second;
        this->maxCapacity = std::max(this->maxCapacity, added.capacity);
        for (const auto &holding : holdings)
            this->models[holding.model].replicas.push_back({index, holding.ready, 0});
    }
    for (int round = 0; round < LevellingRounds; ++round) {
        for (auto &[name, model] : this->models)
            this->distributeWork(model);
    }
    for (const auto &[name, model] : this->models) {
        for (const auto &replica : model.replicas) {
            auto &engine = this->engines[replica.engine];
            // Requests without work cost nothing on any engine.
            engine.requestsPerSecond +=
                model.demand.busyEngines > 0
                    ? model.requestsPerBusyEngine() * replica.utilization * engine.capacity
                    : model.demand.requestsPerSecond / static_cast<double>(model.replicas.size());
        }
    }
}

void EngineLoads::distributeWork(Model &model)
{
    if (model.replicas.empty() || model.demand.busyEngines <= 0)
        return;
    for (auto &replica : model.replicas) {
        this->engines[replica.engine].utilization -= replica.utilization;
        replica.utilization = 0;
    }
    std::sort(model.replicas.begin(), model.replicas.end(),
              [&](const Replica &left, const Replica &right) {
                  return this->engines[left.engine].utilization <
                         this->engines[right.engine].utilization;
              });
    // Fills the least busy engines up to a common utilization. Gateways weigh the work in progress
    // at an engine by its slowness, so a slow one reaches that with less work.
    double left = model.demand.busyEngines;
    size_t filled = 1;
    double capacity = this->engines[model.replicas.front().engine].capacity;
    double level = this->engines[model.replicas.front().engine].utilization;
    while (filled < model.replicas.size()) {
        const Engine &next = this->engines[model.replicas[filled].engine];
        const double room = (next.utilization - level) * capacity;
        if (room >= left)
            break;
        left -= room;
        level = next.utilization;
        capacity += next.capacity;
        ++filled;
    }
    level += left / capacity;
    for (size_t i = 0; i < filled; ++i) {
        auto &replica = model.replicas[i];
        auto &engine = this->engines[replica.engine];
        replica.utilization = level - engine.utilization;
        engine.utilization = level;
    }
}

double EngineLoads::utilization(const std::string &engine) const
{
    const auto found = this->engineIndexes.find(engine);
    return found == this->engineIndexes.end() ? 0 : this->engines[found->second].utilization;
}

const EngineLoads::Replica *EngineLoads::findReplica(const std::string &engine,
                                                     const std::string &model) const
{
    const auto index = this->engineIndexes.find(engine);
    const auto found = this->models.find(model);
    if (index == this->engineIndexes.end() || found == this->models.end())
        return nullptr;
    const auto &replicas = found->second.replicas;
    const auto replica = std::find_if(replicas.begin(), replicas.end(),
                                      [&](const auto &row) { return row.engine == index->second; });
    return replica == replicas.end() ? nullptr : &*replica;
}

EngineLoads::Engine EngineLoads::engineWithout(size_t engine, const std::string &victim) const
{
    Engine rest = this->engines[engine];
    const auto found = this->models.find(victim);
    if (found == this->models.end())
        return rest;
    for (const auto &replica : found->second.replicas) {
        if (replica.engine != engine)
            continue;
        rest.utilization -= replica.utilization;
        rest.requestsPerSecond -=
            found->second.requestsPerBusyEngine() * replica.utilization * rest.capacity;
    }
    return rest;
}

double EngineLoads::replicaGain(const std::string &engine, const std::string &model,
                                const std::string &victim) const
{
    const auto index = this->engineIndexes.find(engine);
    const auto found = this->models.find(model);
    if (index == this->engineIndexes.end() || found == this->models.end())
        return 0;
    const Engine place = this->engineWithout(index->second, victim);
    const auto &[demand, replicas] = found->second;
    if (replicas.empty()) {
        const double after = servedShareAt(place.utilization + demand.busyEngines / place.capacity);
        return demand.requestsPerSecond * after +
               place.requestsPerSecond * (after - servedShareAt(place.utilization));
    }
    const double spare = replicas.size() == 1 ? SecondReplicaShare * demand.requestsPerSecond : 0;
    const auto [level, capacity] = this->sharedLevel(replicas);
    if (capacity == 0 || level <= place.utilization)
        return spare;
    const double moved = std::min((level - place.utilization) * capacity * place.capacity /
                                      (capacity + place.capacity),
                                  demand.busyEngines);
    const double movedRequests = moved * found->second.requestsPerBusyEngine();
    const double levelAfter = level - moved / capacity;
    const double placeAfter = place.utilization + moved / place.capacity;
    double gain =
        spare + movedRequests * (servedShareAt(placeAfter) - servedShareAt(levelAfter)) +
        place.requestsPerSecond * (servedShareAt(placeAfter) - servedShareAt(place.utilization));
    for (const auto &replica : replicas) {
        if (replica.utilization > 0) {
            const auto &holder = this->engines[replica.engine];
            gain += holder.requestsPerSecond *
                    (servedShareAt(levelAfter) - servedShareAt(holder.utilization));
        }
    }
    return gain;
}

double EngineLoads::maxReplicaGain(const std::string &model) const
{
    const auto found = this->models.find(model);
    if (found == this->models.end())
        return 0;
    const auto &[demand, replicas] = found->second;
    if (replicas.empty())
        return demand.requestsPerSecond;
    const double spare = replicas.size() == 1 ? SecondReplicaShare * demand.requestsPerSecond : 0;
    const auto [level, capacity] = this->sharedLevel(replicas);
    if (capacity == 0)
        return spare;
    // An idle engine of the fastest ones takes over the most work.
    const double moved = std::min(
        level * capacity * this->maxCapacity / (capacity + this->maxCapacity), demand.busyEngines);
    const double levelAfter = level - moved / capacity;
    double gain =
        spare + moved * found->second.requestsPerBusyEngine() * (1 - servedShareAt(level));
    for (const auto &replica : replicas) {
        const auto &holder = this->engines[replica.engine];
        if (replica.utilization > 0)
            gain += holder.requestsPerSecond *
                    std::max(0.0, servedShareAt(levelAfter) - servedShareAt(holder.utilization));
    }
    return gain;
}

EngineLoads::SharedLevel EngineLoads::sharedLevel(const std::vector<Replica> &replicas) const
{
    SharedLevel shared;
    for (const auto &replica : replicas) {
        if (replica.utilization <= 0)
            continue;
        const auto &engine = this->engines[replica.engine];
        shared.level += engine.utilization * engine.capacity;
        shared.capacity += engine.capacity;
    }
    if (shared.capacity > 0)
        shared.level /= shared.capacity;
    return shared;
}

double EngineLoads::replicaLoss(const std::string &engine, const std::string &model) const
{
    const auto *dropped = this->findReplica(engine, model);
    if (dropped == nullptr)
        return 0;
    const auto &row = this->models.at(model);
    const Engine before = this->engines[dropped->engine];
    const Engine after = this->engineWithout(dropped->engine, model);
    const double requests = before.requestsPerSecond - after.requestsPerSecond;
    int others = 0;
    double capacity = 0;
    for (const auto &replica : row.replicas) {
        if (&replica == dropped || !replica.ready)
            continue;
        ++others;
        capacity += this->engines[replica.engine].capacity;
    }
    // The models that stay on the engine are served better.
    const double relief = after.requestsPerSecond *
                          (servedShareAt(after.utilization) - servedShareAt(before.utilization));
    if (others == 0)
        return row.demand.requestsPerSecond * servedShareAt(before.utilization) - relief;
    double loss = others == 1 ? SecondReplicaShare * row.demand.requestsPerSecond : 0;
    // The others take over the work in proportion to their speed.
    const double share = dropped->utilization * before.capacity / capacity;
    for (const auto &replica : row.replicas) {
        if (&replica == dropped || !replica.ready)
            continue;
        const auto &holder = this->engines[replica.engine];
        const double quality = servedShareAt(holder.utilization + share);
        loss +=
            holder.requestsPerSecond * (servedShareAt(holder.utilization) - quality) +
            requests * holder.capacity / capacity * (servedShareAt(before.utilization) - quality);
    }
    return loss - relief;
}

} // namespace tray
