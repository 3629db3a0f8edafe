#include "placement/PlacementState.h"

#include <algorithm>

namespace tray {

namespace {

// Tokens per second of one slot of an engine: with more than 39 ms between tokens an answer is not
// good.
constexpr double TokensPerSecondPerSlot = 25;
// Above this fraction of its capacity an engine's queue becomes too long for the tiers' deadlines.
constexpr double MaxUsefulUtilisation = 0.8;
// Penalty for a token that is sent over the link between regions, as a fraction of its value.
constexpr double LinkPenalty = 0.5;
// Fraction of the memory, as a divisor, that loads must leave free for KV cache. Agents refuse
// requested placements that would use this memory.
constexpr uint64_t KvReserveDivisor = 16;

uint64_t contextBytes(const proto::Model &model)
{
    return uint64_t{model.kv_bytes_per_token()} * uint64_t{model.max_context_tokens()};
}

} // namespace

bool PlannedEngine::fits(uint64_t moreWeights, uint64_t moreContext) const
{
    const uint64_t weights = this->weightBytes + moreWeights;
    const uint64_t reserve =
        std::max(this->memoryBytes / KvReserveDivisor, this->contextBytes + moreContext);
    return weights <= this->memoryBytes && reserve <= this->memoryBytes - weights;
}

uint64_t PlannedEngine::loadableBytes() const
{
    return this->memoryBytes - this->memoryBytes / KvReserveDivisor;
}

double PlannedEngine::usefulCapacity() const
{
    return this->capacity * MaxUsefulUtilisation;
}

bool PlannedEngine::isOvercommitted() const
{
    return !this->fits(0, 0);
}

PlacementState::PlacementState(const PlanInput &input, Instant now)
{
    auto made = std::make_shared<Shared>(Shared{input.catalogue, {}, {}, {}});
    for (const auto &[name, model] : input.catalogue.models())
        made->rates[name] = input.demand.tokenRatesByRegion(name, now);
    for (const auto &[name, adapter] : input.catalogue.adapters()) {
        made->adapterRates[name] = input.demand.tokenRate(name, now);
        made->adapterBytes[adapter.base_model()] += adapter.bytes();
    }
    this->shared = std::move(made);
    for (const auto &status : input.statuses) {
        const bool isAvailable = !status->service() && !status->lost() && !status->draining();
        if (isAvailable && status->memory_bytes() > 0)
            this->addEngine(*status, input.current);
    }
}

PlacementState::PlacementState(const PlacementState &other, bool isEmpty) : PlacementState(other)
{
    if (!isEmpty)
        return;
    this->replicaTable.clear();
    this->crossRegionRate = 0;
    for (PlannedEngine &engine : this->plannedEngines) {
        engine.items = {};
        engine.weightBytes = 0;
        engine.contextBytes = 0;
        engine.load = 0;
    }
}

void PlacementState::addEngine(const proto::UpstreamStatus &status, const PlacementPlan &current)
{
    PlannedEngine engine;
    engine.name = status.upstream();
    engine.pool = status.pool();
    engine.region = status.region();
    engine.memoryBytes = status.memory_bytes();
    engine.capacity = status.concurrency() * TokensPerSecondPerSlot;
    const size_t index = this->plannedEngines.size();
    this->plannedEngines.push_back(std::move(engine));

    EngineItems items;
    if (const auto requested = current.find(status.upstream()); requested != current.end()) {
        items = requested->second;
    } else {
        for (const proto::ResidentItem &item : status.items())
            (item.adapter() ? items.adapters : items.models).insert(item.name());
    }
    for (const std::string &model : items.models) {
        if (this->canAddModel(model, index))
            this->addModel(model, index);
    }
    for (const std::string &adapter : items.adapters) {
        if (this->canAddAdapter(adapter, index))
            this->addAdapter(adapter, index);
    }
}

const std::vector<size_t> &PlacementState::replicas(const std::string &model) const
{
    static const std::vector<size_t> None;
    const auto found = this->replicaTable.find(model);
    return found == this->replicaTable.end() ? None : found->second;
}

uint32_t PlacementState::requiredReplicas(const proto::Model &model)
{
    return std::max(1u, model.min_replicas());
}

uint64_t PlacementState::adapterBytes(const std::string &model) const
{
    const auto found = this->shared->adapterBytes.find(model);
    return found == this->shared->adapterBytes.end() ? 0 : found->second;
}

uint64_t PlacementState::replicaBytes(const std::string &model) const
{
    const proto::Model &found = *this->catalogue().findModel(model);
    return found.weight_bytes() + contextBytes(found) + this->adapterBytes(model);
}

const DemandTracker::RegionRates &PlacementState::rates(const std::string &model) const
{
    static const DemandTracker::RegionRates None;
    const auto found = this->shared->rates.find(model);
    return found == this->shared->rates.end() ? None : found->second;
}

double PlacementState::tokenRate(const std::string &name) const
{
    double sum = 0;
    for (const auto &[region, rate] : this->rates(name))
        sum += rate;
    const auto adapter = this->shared->adapterRates.find(name);
    return adapter == this->shared->adapterRates.end() ? sum : adapter->second;
}

bool PlacementState::canAddModel(const std::string &model, size_t engine, uint64_t extraBytes) const
{
    const proto::Model *found = this->shared->catalogue.findModel(model);
    const PlannedEngine &target = this->plannedEngines[engine];
    return found != nullptr && found->pool() == target.pool &&
           !target.items.models.contains(model) &&
           target.fits(found->weight_bytes() + extraBytes, contextBytes(*found));
}

void PlacementState::addModel(const std::string &model, size_t engine)
{
    const proto::Model &found = *this->shared->catalogue.findModel(model);
    this->applyLoad(model, -1);
    PlannedEngine &target = this->plannedEngines[engine];
    target.items.models.insert(model);
    target.weightBytes += found.weight_bytes();
    target.contextBytes += contextBytes(found);
    this->replicaTable[model].push_back(engine);
    this->applyLoad(model, 1);
}

void PlacementState::removeModel(const std::string &model, size_t engine)
{
    const proto::Model &found = *this->shared->catalogue.findModel(model);
    this->applyLoad(model, -1);
    PlannedEngine &target = this->plannedEngines[engine];
    target.items.models.erase(model);
    target.weightBytes -= found.weight_bytes();
    target.contextBytes -= contextBytes(found);
    std::erase_if(target.items.adapters, [&](const std::string &name) {
        const proto::Adapter *adapter = this->shared->catalogue.findAdapter(name);
        const bool isOfModel = adapter->base_model() == model;
        target.weightBytes -= isOfModel ? adapter->bytes() : 0;
        return isOfModel;
    });
    std::erase(this->replicaTable[model], engine);
    this->applyLoad(model, 1);
}

bool PlacementState::canAddAdapter(const std::string &adapter, size_t engine) const
{
    const proto::Adapter *found = this->shared->catalogue.findAdapter(adapter);
    const PlannedEngine &target = this->plannedEngines[engine];
    return found != nullptr && target.items.models.contains(found->base_model()) &&
           !target.items.adapters.contains(adapter) && target.fits(found->bytes(), 0);
}

void PlacementState::addAdapter(const std::string &adapter, size_t engine)
{
    this->plannedEngines[engine].items.adapters.insert(adapter);
    this->plannedEngines[engine].weightBytes +=
        this->shared->catalogue.findAdapter(adapter)->bytes();
}

// Adds a model's load to the engines, or subtracts it if sign is -1. A region's demand is
// distributed equally over the replicas in that region, or over all replicas if it has none.
void PlacementState::applyLoad(const std::string &model, double sign)
{
    const std::vector<size_t> &holders = this->replicas(model);
    if (holders.empty())
        return;
    for (const auto &[region, rate] : this->rates(model)) {
        const auto isLocal = [this, &name = region](size_t i) {
            return this->plannedEngines[i].region == name;
        };
        const auto local = std::count_if(holders.begin(), holders.end(), isLocal);
        const double share =
            sign * rate / static_cast<double>(local > 0 ? local : std::ssize(holders));
        for (const size_t holder : holders) {
            if (local == 0 || isLocal(holder))
                this->plannedEngines[holder].load += share;
        }
        this->crossRegionRate += local > 0 ? 0 : sign * rate;
    }
}

double PlacementState::expectedAttainment() const
{
    double sum = -LinkPenalty * this->crossRegionRate;
    for (const PlannedEngine &engine : this->plannedEngines)
        sum += std::min(engine.load, engine.usefulCapacity());
    return sum;
}

bool PlacementState::hasCrossRegionDemand(const std::string &model) const
{
    const std::vector<size_t> &holders = this->replicas(model);
    const auto isServed = [&](const std::string &region) {
        return std::any_of(holders.begin(), holders.end(),
                           [&](size_t i) { return this->plannedEngines[i].region == region; });
    };
    const auto &rates = this->rates(model);
    return std::any_of(rates.begin(), rates.end(),
                       [&](const auto &entry) { return !isServed(entry.first); });
}

PlacementPlan PlacementState::plan() const
{
    PlacementPlan made;
    for (const PlannedEngine &engine : this->plannedEngines)
        made[engine.name] = engine.items;
    return made;
}

} // namespace tray
