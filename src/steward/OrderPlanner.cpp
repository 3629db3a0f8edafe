// Chooses the next model or adapter order for one engine and estimates its memory use.
#include "steward/OrderPlanner.h"

#include <algorithm>

namespace tray {

namespace {

// Memory that is left free besides weights and adapters, in MB, because the configured sizes are
// rounded.
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
    // A model that is no longer in the configuration counts as one that fills the engine.
    return found == nullptr ? spec.weightsMb : found->weightsMb;
}

double adapterMbOf(const EngineSpec &spec, const std::string &model)
{
    const auto *found = spec.findModel(model);
    return found == nullptr ? 0 : found->adapterMb;
}

} // namespace

bool OrderPlanner::requestModels(uint64_t term, std::vector<std::string> models, Instant now)
{
    if (term < this->plannerTerm)
        return false;
    this->plannerTerm = term;
    this->requestedModels = std::move(models);
    this->requestedAt = now;
    return true;
}

void OrderPlanner::dropRequests()
{
    this->requestedAt = {};
    this->previousModels.clear();
    this->adapterRequests.clear();
}

void OrderPlanner::noteEngineRestart()
{
    this->requestedAt = {};
    this->adapterRequests.clear();
    this->modelOrder.reset();
}

void OrderPlanner::requestAdapter(const std::string &model, const std::string &adapter, Instant now)
{
    this->adapterRequests[{model, adapter}] = now;
}

void OrderPlanner::restoreModels(std::vector<std::string> models, Instant now)
{
    this->previousModels = std::move(models);
    this->previousModelsAt = now;
}

std::vector<std::string> OrderPlanner::heldByRequestOrder(const EngineReport &report) const
{
    std::vector<std::string> models;
    for (const auto &model : this->requestedModels) {
        if (findHeldModel(report.models, model) != nullptr)
            models.push_back(model);
    }
    for (const auto &held : report.models) {
        if (!contains(models, held.name))
            models.push_back(held.name);
    }
    return models;
}

std::optional<EngineOrder> OrderPlanner::nextOrder(const EngineReport &report,
                                                   const EngineSpec &spec, Instant now) const
{
    if (report.leaving)
        return std::nullopt;
    // Requests are waiting for adapters, so adapter orders come first.
    if (auto order = this->nextAdapterOrder(report, spec, now))
        return order;
    return this->nextModelOrder(report, spec, now);
}

std::optional<EngineOrder> OrderPlanner::nextModelOrder(const EngineReport &report,
                                                        const EngineSpec &spec, Instant now) const
{
    if (report.busy)
        return std::nullopt;
    if (this->requestedAt == Instant{} || now >= this->requestedAt + PlacementRequestLifetime)
        return this->nextRestoreOrder(report, spec, now);
    EngineOrder order;
    order.expectedSequence = report.sequence;
    for (const auto &model : this->requestedModels) {
        if (findHeldModel(report.models, model) != nullptr || spec.findModel(model) == nullptr)
            continue;
        if (this->fits(report, spec, weightsOf(spec, model))) {
            order.verb = OrderVerb::Load;
            order.model = model;
            return order;
        }
        for (const auto &held : report.models) {
            if (contains(this->requestedModels, held.name))
                continue;
            order.verb = OrderVerb::Unload;
            order.model = held.name;
            return order;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<EngineOrder> OrderPlanner::nextRestoreOrder(const EngineReport &report,
                                                          const EngineSpec &spec, Instant now) const
{
    if (now >= this->previousModelsAt + RestoreLifetime)
        return std::nullopt;
    for (const auto &model : this->previousModels) {
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

std::optional<EngineOrder> OrderPlanner::nextAdapterOrder(const EngineReport &report,
                                                          const EngineSpec &spec, Instant now) const
{
    // An engine executes one model order at a time and refuses adapter orders meanwhile.
    if (report.busy)
        return std::nullopt;
    const size_t inTransit = countAdapters(report.adaptersInTransit);
    const size_t usedSlots = countAdapters(report.models) + inTransit;
    for (const auto &[key, requestedAt] : this->adapterRequests) {
        if (now >= requestedAt + AdapterRequestLifetime || !isHeld(report.models, key.model, "") ||
            isHeld(report.models, key.model, key.adapter) ||
            isHeld(report.adaptersInTransit, key.model, key.adapter))
            continue;
        EngineOrder order;
        order.expectedSequence = report.sequence;
        if (usedSlots < spec.adapterSlots && inTransit < MaxAdaptersInTransit &&
            this->fits(report, spec, adapterMbOf(spec, key.model))) {
            order.verb = OrderVerb::Load;
            order.model = key.model;
            order.adapter = key.adapter;
            return order;
        }
        if (usedSlots < spec.adapterSlots)
            continue;
        if (const auto victim = this->chooseAdapterToUnload(report, now)) {
            order.verb = OrderVerb::Unload;
            order.model = victim->model;
            order.adapter = victim->adapter;
            return order;
        }
    }
    return std::nullopt;
}

std::optional<OrderPlanner::AdapterKey>
OrderPlanner::chooseAdapterToUnload(const EngineReport &report, Instant now) const
{
    std::optional<AdapterKey> least;
    Instant leastAt = now - AdapterInUseTime;
    for (const auto &model : report.models) {
        for (const auto &adapter : model.adapters) {
            const AdapterKey key{model.name, adapter};
            const auto request = this->adapterRequests.find(key);
            const Instant requestedAt =
                request == this->adapterRequests.end() ? Instant{} : request->second;
            if (requestedAt < leastAt) {
                least = key;
                leastAt = requestedAt;
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
    // An unknown order, such as one from before a restart of this process, may concern any model.
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
    // An unanswered order may be the one that keeps the engine busy.
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

Duration OrderPlanner::remainingLoadTime(const EngineReport &report, const EngineSpec &spec,
                                         Instant now) const
{
    const std::string model = this->loadingModel(report);
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

std::string OrderPlanner::loadingModel(const EngineReport &report) const
{
    const bool inProgress =
        report.busy && this->modelOrder && this->modelOrder->verb == OrderVerb::Load;
    return inProgress ? this->modelOrder->model : "";
}

std::string OrderPlanner::unloadingModel(const EngineReport &report) const
{
    const bool inProgress =
        report.busy && this->modelOrder && this->modelOrder->verb == OrderVerb::Unload;
    return inProgress ? this->modelOrder->model : "";
}

} // namespace tray
