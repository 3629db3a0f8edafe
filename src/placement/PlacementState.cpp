// Memory and load accounting of a plan.
#include "placement/PlacementState.h"

#include <algorithm>

namespace tray {

namespace {

// Tokens a second of one slot of an engine: 39 ms between tokens is the limit for a good answer.
constexpr double TokensPerSlot = 25;
// Beyond this part of its capacity an engine's queue grows too long for the tiers' deadlines.
constexpr double UsefulPart = 0.8;
// Part of a token's worth that the way over the region link costs.
constexpr double LinkCharge = 0.5;
// Part of the memory that loads must leave free for KV cache; agents refuse to use it for wishes.
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
    return this->capacity * UsefulPart;
}

bool PlannedEngine::isOvercommitted() const
{
    return !this->fits(0, 0);
}

PlacementState::PlacementState(const PlanInput &input, Instant now)
{
    auto made = std::make_shared<Shared>(Shared{input.catalogue, {}, {}, {}});
    for (const auto &[name, model] : input.catalogue.models())
        made->rates[name] = input.demand.tokensByRegion(name, now);
    for (const auto &[name, adapter] : input.catalogue.adapters()) {
        made->adapterRates[name] = input.demand.tokens(name, now);
        made->adapterBytes[adapter.base_model()] += adapter.bytes();
    }
    this->shared = std::move(made);
    for (const auto &status : input.statuses) {
        const bool isUsable = !status->service() && !status->lost() && !status->draining();
        if (isUsable && status->memory_bytes() > 0)
            this->addEngine(*status, input.present);
    }
}

PlacementState::PlacementState(const PlacementState &like, bool isEmpty) : PlacementState(like)
{
    if (!isEmpty)
        return;
    this->replicaTable.clear();
    this->crossing = 0;
    for (PlannedEngine &engine : this->planned) {
        engine.items = {};
        engine.weightBytes = 0;
        engine.contextBytes = 0;
        engine.load = 0;
    }
}

void PlacementState::addEngine(const proto::UpstreamStatus &status, const PlacementPlan &present)
{
    PlannedEngine engine;
    engine.name = status.upstream();
    engine.pool = status.pool();
    engine.region = status.region();
    engine.memoryBytes = status.memory_bytes();
    engine.capacity = status.concurrency() * TokensPerSlot;
    const size_t index = this->planned.size();
    this->planned.push_back(std::move(engine));

    EngineItems items;
    if (const auto wished = present.find(status.upstream()); wished != present.end()) {
        items = wished->second;
    } else {
        for (const proto::ResidentItem &item : status.items())
            (item.adapter() ? items.adapters : items.models).insert(item.name());
    }
    for (const std::string &model : items.models) {
        if (this->canAdd(model, index))
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

uint32_t PlacementState::required(const proto::Model &model)
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

double PlacementState::tokens(const std::string &name) const
{
    double sum = 0;
    for (const auto &[region, rate] : this->rates(name))
        sum += rate;
    const auto adapter = this->shared->adapterRates.find(name);
    return adapter == this->shared->adapterRates.end() ? sum : adapter->second;
}

bool PlacementState::canAdd(const std::string &model, size_t engine, uint64_t extraBytes) const
{
    const proto::Model *found = this->shared->catalogue.findModel(model);
    const PlannedEngine &target = this->planned[engine];
    return found != nullptr && found->pool() == target.pool &&
           !target.items.models.contains(model) &&
           target.fits(found->weight_bytes() + extraBytes, contextBytes(*found));
}

void PlacementState::addModel(const std::string &model, size_t engine)
{
    const proto::Model &found = *this->shared->catalogue.findModel(model);
    this->spread(model, -1);
    PlannedEngine &target = this->planned[engine];
    target.items.models.insert(model);
    target.weightBytes += found.weight_bytes();
    target.contextBytes += contextBytes(found);
    this->replicaTable[model].push_back(engine);
    this->spread(model, 1);
}

void PlacementState::removeModel(const std::string &model, size_t engine)
{
    const proto::Model &found = *this->shared->catalogue.findModel(model);
    this->spread(model, -1);
    PlannedEngine &target = this->planned[engine];
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
    this->spread(model, 1);
}

bool PlacementState::canAddAdapter(const std::string &adapter, size_t engine) const
{
    const proto::Adapter *found = this->shared->catalogue.findAdapter(adapter);
    const PlannedEngine &target = this->planned[engine];
    return found != nullptr && target.items.models.contains(found->base_model()) &&
           !target.items.adapters.contains(adapter) && target.fits(found->bytes(), 0);
}

void PlacementState::addAdapter(const std::string &adapter, size_t engine)
{
    this->planned[engine].items.adapters.insert(adapter);
    this->planned[engine].weightBytes += this->shared->catalogue.findAdapter(adapter)->bytes();
}

// Adds or takes away a model's load: a region's demand goes to its own replicas in equal parts, or
// to those of other regions if it has none.
void PlacementState::spread(const std::string &model, double sign)
{
    const std::vector<size_t> &holders = this->replicas(model);
    if (holders.empty())
        return;
    for (const auto &[region, rate] : this->rates(model)) {
        const auto isLocal = [this, &name = region](size_t i) {
            return this->planned[i].region == name;
        };
        const auto local = std::count_if(holders.begin(), holders.end(), isLocal);
        const double share =
            sign * rate / static_cast<double>(local > 0 ? local : std::ssize(holders));
        for (const size_t holder : holders) {
            if (local == 0 || isLocal(holder))
                this->planned[holder].load += share;
        }
        this->crossing += local > 0 ? 0 : sign * rate;
    }
}

double PlacementState::expectedAttainment() const
{
    double sum = -LinkCharge * this->crossing;
    for (const PlannedEngine &engine : this->planned)
        sum += std::min(engine.load, engine.usefulCapacity());
    return sum;
}

bool PlacementState::crosses(const std::string &model) const
{
    const std::vector<size_t> &holders = this->replicas(model);
    const auto isServed = [&](const std::string &region) {
        return std::any_of(holders.begin(), holders.end(),
                           [&](size_t i) { return this->planned[i].region == region; });
    };
    const auto &rates = this->rates(model);
    return std::any_of(rates.begin(), rates.end(),
                       [&](const auto &entry) { return !isServed(entry.first); });
}

PlacementPlan PlacementState::plan() const
{
    PlacementPlan made;
    for (const PlannedEngine &engine : this->planned)
        made[engine.name] = engine.items;
    return made;
}

} // namespace tray
