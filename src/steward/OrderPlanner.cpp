// Orders for models and adapters of one engine.
#include "steward/OrderPlanner.h"

#include <algorithm>

namespace tray {

namespace {

// Memory beside weights and adapters that is left free, in MB: figures are rounded.
constexpr double SpareMb = 1;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

size_t countAdapters(const std::vector<HeldModel> &models)
{
    size_t count = 0;
    for (const auto &model : models)
        count += model.adapters.size();
    return count;
}

double weightsOf(const EngineSpec &spec, const std::string &model)
{
    const auto *found = spec.findModel(model);
    // A model that the configuration no longer names is taken for one that fills the engine.
    return found == nullptr ? spec.weightsMb : found->weightsMb;
}

double adapterMbOf(const EngineSpec &spec, const std::string &model)
{
    const auto *found = spec.findModel(model);
    return found == nullptr ? 0 : found->adapterMb;
}

} // namespace

bool OrderPlanner::wishModels(uint64_t term, std::vector<std::string> models, Instant now)
{
    if (term < this->plannerTerm)
        return false;
    this->plannerTerm = term;
    this->wished = std::move(models);
    this->wishedAt = now;
    return true;
}

void OrderPlanner::dropWishes()
{
    this->wishedAt = {};
    this->lastLife.clear();
    this->adapterWishes.clear();
}

void OrderPlanner::wishAdapter(const std::string &model, const std::string &adapter, Instant now)
{
    this->adapterWishes[{model, adapter}] = now;
}

void OrderPlanner::restoreModels(std::vector<std::string> models, Instant now)
{
    this->lastLife = std::move(models);
    this->lastLifeAt = now;
}

std::vector<std::string> OrderPlanner::heldByWish(const EngineReport &report) const
{
    std::vector<std::string> models;
    for (const auto &model : this->wished) {
        if (findHeldModel(report.models, model) != nullptr)
            models.push_back(model);
    }
    for (const auto &held : report.models) {
        if (!contains(models, held.name))
            models.push_back(held.name);
    }
    return models;
}

std::optional<EngineOrder> OrderPlanner::next(const EngineReport &report, const EngineSpec &spec,
                                              Instant now) const
{
    if (report.leaving)
        return std::nullopt;
    // Requests wait for adapters, so these go first.
    if (auto order = this->nextForAdapters(report, spec, now))
        return order;
    return this->nextForModels(report, spec, now);
}

std::optional<EngineOrder> OrderPlanner::nextForModels(const EngineReport &report,
                                                       const EngineSpec &spec, Instant now) const
{
    if (report.busy)
        return std::nullopt;
    if (this->wishedAt == Instant{} || now >= this->wishedAt + WishLifetime)
        return this->nextToRestore(report, spec, now);
    EngineOrder order;
    order.expectedSequence = report.sequence;
    for (const auto &model : this->wished) {
        if (findHeldModel(report.models, model) != nullptr || spec.findModel(model) == nullptr)
            continue;
        if (this->fits(report, spec, weightsOf(spec, model))) {
            order.verb = OrderVerb::Load;
            order.model = model;
            return order;
        }
        for (const auto &held : report.models) {
            if (contains(this->wished, held.name))
                continue;
            order.verb = OrderVerb::Unload;
            order.model = held.name;
            return order;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<EngineOrder> OrderPlanner::nextToRestore(const EngineReport &report,
                                                       const EngineSpec &spec, Instant now) const
{
    if (now >= this->lastLifeAt + RestoreLifetime)
        return std::nullopt;
    for (const auto &model : this->lastLife) {
        const bool hasCopy =
            contains(report.modelsInMemory, model) || contains(report.modelsOnDisk, model);
        if (!hasCopy || findHeldModel(report.models, model) != nullptr ||
            spec.findModel(model) == nullptr || !this->fits(report, spec, weightsOf(spec, model)))
            continue;
        EngineOrder order;
        order.expectedSequence = report.sequence;
        order.verb = OrderVerb::Load;
        order.model = model;
        return order;
    }
    return std::nullopt;
}

std::optional<EngineOrder> OrderPlanner::nextForAdapters(const EngineReport &report,
                                                         const EngineSpec &spec, Instant now) const
{
    // An engine carries out one order about a model at a time and refuses adapters meanwhile.
    if (report.busy)
        return std::nullopt;
    const size_t arriving = countAdapters(report.adaptersInTransit);
    const size_t places = countAdapters(report.models) + arriving;
    for (const auto &[key, wishedAt] : this->adapterWishes) {
        if (now >= wishedAt + AdapterWishLifetime || !isHeld(report.models, key.model, "") ||
            isHeld(report.models, key.model, key.adapter) ||
            isHeld(report.adaptersInTransit, key.model, key.adapter))
            continue;
        EngineOrder order;
        order.expectedSequence = report.sequence;
        if (places < spec.adapterSlots && arriving < MaxArriving &&
            this->fits(report, spec, adapterMbOf(spec, key.model))) {
            order.verb = OrderVerb::Load;
            order.model = key.model;
            order.adapter = key.adapter;
            return order;
        }
        if (places < spec.adapterSlots)
            continue;
        if (const auto victim = this->leastWanted(report, now)) {
            order.verb = OrderVerb::Unload;
            order.model = victim->model;
            order.adapter = victim->adapter;
            return order;
        }
    }
    return std::nullopt;
}

std::optional<OrderPlanner::AdapterKey> OrderPlanner::leastWanted(const EngineReport &report,
                                                                  Instant now) const
{
    std::optional<AdapterKey> least;
    Instant leastAt = now - AdapterInUse;
    for (const auto &model : report.models) {
        for (const auto &adapter : model.adapters) {
            const AdapterKey key{model.name, adapter};
            const auto wish = this->adapterWishes.find(key);
            const Instant wishedAt = wish == this->adapterWishes.end() ? Instant{} : wish->second;
            if (wishedAt < leastAt) {
                least = key;
                leastAt = wishedAt;
            }
        }
    }
    return least;
}

double OrderPlanner::usedMb(const EngineReport &report, const EngineSpec &spec) const
{
    double used = SpareMb;
    for (const auto &model : report.models)
        used += weightsOf(spec, model.name) +
                adapterMbOf(spec, model.name) * static_cast<double>(model.adapters.size());
    for (const auto &model : report.adaptersInTransit)
        used += adapterMbOf(spec, model.name) * static_cast<double>(model.adapters.size());
    if (!report.busy)
        return used;
    // Somebody else's order, as from before a restart of this process, may be about any model.
    if (!this->modelOrder)
        return spec.weightsMb;
    if (this->modelOrder->verb == OrderVerb::Load &&
        findHeldModel(report.models, this->modelOrder->model) == nullptr)
        used += weightsOf(spec, this->modelOrder->model);
    return used;
}

bool OrderPlanner::fits(const EngineReport &report, const EngineSpec &spec, double moreMb) const
{
    return this->usedMb(report, spec) + moreMb <= spec.weightsMb;
}

void OrderPlanner::noteReply(const EngineOrder &order, OrderReply reply, const EngineReport &report,
                             Instant now)
{
    if (!order.adapter.empty())
        return;
    // An order without an answer may be the one that makes the engine busy.
    if (reply == OrderReply::Accepted || reply == OrderReply::Unknown)
        this->noteModelOrder(order, now);
    else if (!report.busy)
        this->modelOrder.reset();
}

void OrderPlanner::noteModelOrder(const EngineOrder &order, Instant now)
{
    this->modelOrder = order;
    this->modelOrderAt = now;
}

Duration OrderPlanner::loadingLeft(const EngineReport &report, const EngineSpec &spec,
                                   Instant now) const
{
    const std::string model = this->loading(report);
    const auto *found = spec.findModel(model);
    if (model.empty() || found == nullptr)
        return Duration::zero();
    Duration expected = found->loadTime;
    if (contains(report.modelsInMemory, model))
        expected = found->memoryLoadTime;
    else if (contains(report.modelsOnDisk, model))
        expected = found->diskLoadTime;
    return std::max<Duration>(Duration::zero(), this->modelOrderAt + expected - now);
}

std::string OrderPlanner::loading(const EngineReport &report) const
{
    const bool underWay =
        report.busy && this->modelOrder && this->modelOrder->verb == OrderVerb::Load;
    return underWay ? this->modelOrder->model : "";
}

std::string OrderPlanner::unloading(const EngineReport &report) const
{
    const bool underWay =
        report.busy && this->modelOrder && this->modelOrder->verb == OrderVerb::Unload;
    return underWay ? this->modelOrder->model : "";
}

} // namespace tray
