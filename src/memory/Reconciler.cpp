#include "memory/Reconciler.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace tray {

namespace {

using Phase = MemoryLedger::Phase;

// A withdrawn hold on a replica is restored if the replica was not unloaded within this time.
constexpr auto MaxWithdrawalTime = std::chrono::seconds(30);
constexpr uint32_t LowestTierRank = std::numeric_limits<uint32_t>::max();

uint32_t useCount(const ReconcileInput &input, const ItemKey &key)
{
    const auto found = input.inUse.find(key);
    return found == input.inUse.end() ? 0 : found->second;
}

std::string requiredVersion(const ItemRequirements &requirements, ItemKind kind,
                            const std::string &name)
{
    if (kind == ItemKind::Model) {
        const auto found = requirements.models.find(name);
        return found == requirements.models.end() ? std::string() : found->second.version;
    }
    const auto found = requirements.adapters.find(name);
    return found == requirements.adapters.end() ? std::string() : found->second.version;
}

} // namespace

Reconciler::Reconciler(std::string upstream, const std::string &pool, MemoryLedger &ledger,
                       ReconcilerTimes times)
    : upstream(std::move(upstream)), ledger(ledger), times(times),
      view(this->upstream, pool, times.holds)
{}

ReconcileOutput Reconciler::decide(const ReconcileInput &input, Instant now)
{
    ReconcileOutput output;
    this->modelsToUnload.clear();
    this->view.update(input.statuses, now);
    this->updateLastUse(input, now);
    this->removeCompleted();
    if (this->ledger.hasReport()) {
        this->resendPending(input, now, output);
        this->unloadObsolete(input, now, output);
        if (input.mayLoad && !input.draining)
            this->loadWantedItems(input, this->collectWantedItems(input, now), now, output);
    }
    this->updateHolds(input, now, output);
    return output;
}

void Reconciler::updateLastUse(const ReconcileInput &input, Instant now)
{
    std::erase_if(this->lastUse,
                  [&](const auto &pair) { return this->ledger.find(pair.first) == nullptr; });
    for (const auto &[key, entry] : this->ledger.entries()) {
        const auto [place, isNew] = this->lastUse.try_emplace(key, now);
        if (!isNew && useCount(input, key) > 0)
            place->second = now;
    }
}

void Reconciler::removeCompleted()
{
    std::erase_if(this->pending, [&](const auto &pair) {
        const auto *entry = this->ledger.find(pair.first);
        if (entry == nullptr)
            return true;
        const bool isLoad = pair.second.command.action == CommandAction::Load;
        return isLoad ? entry->phase != Phase::LoadSent : entry->phase != Phase::UnloadSent;
    });
}

void Reconciler::resendPending(const ReconcileInput &input, Instant now, ReconcileOutput &output)
{
    for (auto &[key, pendingCommand] : this->pending) {
        if (now - pendingCommand.sentAt < this->times.resendInterval)
            continue;
        pendingCommand.sentAt = now;
        pendingCommand.command.fencing = input.fencing;
        output.commands.push_back(pendingCommand.command);
    }
}

void Reconciler::issue(const ReconcileInput &input, CommandAction action, const ItemKey &key,
                       uint64_t bytes, const std::string &base, Instant now,
                       ReconcileOutput &output)
{
    EngineCommand command;
    command.id = this->upstream + "-" + std::to_string(input.fencing) + "-" +
                 std::to_string(++this->commandCount);
    command.fencing = input.fencing;
    command.action = action;
    command.key = key;
    command.bytes = bytes;
    command.base = base;
    if (action == CommandAction::Unload)
        this->ledger.noteUnload(key);
    ++this->issuedCount;
    this->pending[key] = {command, now};
    output.commands.push_back(std::move(command));
}

void Reconciler::addWantedItem(std::vector<WantedItem> &wantedItems,
                               const ItemRequirements &requirements, ItemKind kind,
                               const std::string &name, uint32_t priorityClass, uint32_t tierRank,
                               uint32_t waiting) const
{
    WantedItem item{{kind, name, requiredVersion(requirements, kind, name)}};
    if (item.key.version.empty())
        return;
    if (kind == ItemKind::Adapter) {
        const auto &adapter = requirements.adapters.at(name);
        item.bytes = adapter.bytes;
        item.base = adapter.base;
    } else {
        item.bytes = requirements.models.at(name).bytes;
    }
    item.priorityClass = priorityClass;
    item.tierRank = tierRank;
    item.waiting = waiting;
    wantedItems.push_back(std::move(item));
}

std::vector<Reconciler::WantedItem> Reconciler::collectWantedItems(const ReconcileInput &input,
                                                                   Instant now)
{
    std::vector<WantedItem> wantedItems;
    // Class 0: demand and missing replicas; class 1: requested placement and version updates.
    for (const auto &demand : input.demand)
        this->addWantedItem(wantedItems, input.requirements, demand.kind, demand.name, 0,
                            demand.tierRank, demand.waiting);
    for (const auto &name : this->collectMissingModels(input, now))
        this->addWantedItem(wantedItems, input.requirements, ItemKind::Model, name, 0,
                            LowestTierRank, 0);
    for (const auto &name : input.requested.models)
        this->addWantedItem(wantedItems, input.requirements, ItemKind::Model, name, 1,
                            LowestTierRank, 0);
    for (const auto &name : input.requested.adapters)
        this->addWantedItem(wantedItems, input.requirements, ItemKind::Adapter, name, 1,
                            LowestTierRank, 0);
    // An item that is present in another version is wanted in the configured version.
    for (const auto &[key, entry] : this->ledger.entries()) {
        const auto version = requiredVersion(input.requirements, key.kind, key.name);
        if (entry.phase == Phase::Ready && version != key.version)
            this->addWantedItem(wantedItems, input.requirements, key.kind, key.name, 1,
                                LowestTierRank, 0);
    }
    std::stable_sort(wantedItems.begin(), wantedItems.end(),
                     [](const WantedItem &a, const WantedItem &b) {
                         return std::tuple(a.priorityClass, a.tierRank, b.waiting) <
                                std::tuple(b.priorityClass, b.tierRank, a.waiting);
                     });
    return wantedItems;
}

std::set<std::string> Reconciler::collectMissingModels(const ReconcileInput &input, Instant now)
{
    std::set<std::string> missing;
    std::set<std::string> localModels;
    for (const auto &[key, entry] : this->ledger.entries()) {
        if (key.kind == ItemKind::Model && entry.phase != Phase::UnloadSent)
            localModels.insert(key.name);
    }
    for (const auto &[name, model] : input.requirements.models) {
        const uint32_t neededReplicas = std::max(1u, model.minReplicas);
        const bool tooFewReplicas = this->view.countReplicas(name, true) < neededReplicas;
        const bool onlyOldVersions =
            !tooFewReplicas && this->view.countReplicasOfVersion(name, model.version) == 0;
        if (!input.mayRepair || localModels.contains(name) ||
            !(tooFewReplicas || onlyOldVersions)) {
            this->missingSince.erase(name);
            continue;
        }
        const auto since = this->missingSince.try_emplace(name, now).first->second;
        const Duration delay = this->view.loadRank(name) * this->times.repairStagger;
        if (now - since >=
            delay + (tooFewReplicas ? Duration::zero() : this->times.inPlaceReplaceTime))
            missing.insert(name);
    }
    std::erase_if(this->missingSince, [&](const auto &pair) {
        return !input.requirements.models.contains(pair.first);
    });
    return missing;
}

void Reconciler::loadWantedItems(const ReconcileInput &input,
                                 const std::vector<WantedItem> &wantedItems, Instant now,
                                 ReconcileOutput &output)
{
    std::set<ItemKey> wanted;
    for (const auto &item : wantedItems)
        wanted.insert(item.key);
    std::set<ItemKey> considered;
    const uint64_t kvReserveBytes = this->ledger.memoryBytes() / KvReserveDivisor;
    // Adapters may use half of the reserve: otherwise no adapter could ever be loaded on an engine
    // whose models use all memory outside the reserve.
    const uint64_t adapterKvReserveBytes = kvReserveBytes / 2;
    this->freeKvReserve(input, wanted, kvReserveBytes, adapterKvReserveBytes, now, output);
    // Memory for which more important wanted items are waiting.
    uint64_t reservedBytes = 0;
    for (const auto &item : wantedItems) {
        if (this->ledger.find(item.key) != nullptr || !considered.insert(item.key).second)
            continue;
        if (item.key.kind == ItemKind::Adapter && !this->hasReadyModel(item.base))
            continue;
        const uint64_t headroomBytes =
            item.key.kind == ItemKind::Adapter ? adapterKvReserveBytes : kvReserveBytes;
        if (this->ledger.chargeLoad(item.key, item.bytes, headroomBytes + reservedBytes)) {
            this->issue(input, CommandAction::Load, item.key, item.bytes, item.base, now, output);
            continue;
        }
        const uint64_t totalBytes = reservedBytes + item.bytes + headroomBytes;
        const uint64_t availableBytes = this->ledger.free() + this->ledger.pendingRelease();
        if (totalBytes <= this->ledger.memoryBytes() && totalBytes > availableBytes)
            this->freeMemory(input, wanted, totalBytes - availableBytes, now, output);
        if (totalBytes <= this->ledger.free() + this->ledger.pendingRelease())
            reservedBytes += item.bytes;
        else
            output.infeasible.insert(item.key);
    }
}

void Reconciler::freeKvReserve(const ReconcileInput &input, const std::set<ItemKey> &wanted,
                               uint64_t kvReserveBytes, uint64_t adapterKvReserveBytes, Instant now,
                               ReconcileOutput &output)
{
    uint64_t modelBytes = 0;
    uint64_t itemBytes = 0;
    for (const auto &[key, entry] : this->ledger.entries()) {
        const uint64_t keptBytes = entry.phase == Phase::UnloadSent ? 0 : entry.bytes;
        itemBytes += keptBytes;
        modelBytes += key.kind == ItemKind::Model ? keptBytes : 0;
    }
    const uint64_t usedBytes =
        std::max(modelBytes + kvReserveBytes, itemBytes + adapterKvReserveBytes);
    if (usedBytes > this->ledger.memoryBytes())
        this->freeMemory(input, wanted, usedBytes - this->ledger.memoryBytes(), now, output);
}

void Reconciler::freeMemory(const ReconcileInput &input, const std::set<ItemKey> &wanted,
                            uint64_t neededBytes, Instant now, ReconcileOutput &output)
{
    struct Candidate
    {
        Instant lastUse;
        ItemKey key;
        uint64_t bytes;
    };
    std::vector<Candidate> candidates;
    uint64_t evictableBytes = 0;
    for (const auto &[key, entry] : this->ledger.entries()) {
        if (entry.phase != Phase::Ready || wanted.contains(key) || useCount(input, key) > 0)
            continue;
        if (key.kind == ItemKind::Model && input.requirements.models.contains(key.name) &&
            !this->isReplacedLocally(input, key) && !this->view.isHeldElsewhere(key.name))
            continue;
        candidates.push_back({this->lastUse[key], key, entry.bytes});
        evictableBytes += entry.bytes;
    }
    if (evictableBytes < neededBytes)
        return;
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::tie(a.lastUse, a.key) < std::tie(b.lastUse, b.key);
    });
    for (const auto &candidate : candidates) {
        if (neededBytes == 0)
            return;
        if (!this->prepareUnload(input, candidate.key, now))
            continue;
        this->issue(input, CommandAction::Unload, candidate.key, candidate.bytes, "", now, output);
        neededBytes -= std::min(neededBytes, candidate.bytes);
    }
}

void Reconciler::unloadObsolete(const ReconcileInput &input, Instant now, ReconcileOutput &output)
{
    std::vector<std::pair<ItemKey, uint64_t>> unloads;
    for (const auto &[key, entry] : this->ledger.entries()) {
        const bool known = !requiredVersion(input.requirements, key.kind, key.name).empty();
        if (entry.phase == Phase::Ready && useCount(input, key) == 0 &&
            (!known || this->isReplacedLocally(input, key)))
            unloads.emplace_back(key, entry.bytes);
    }
    for (const auto &[key, bytes] : unloads)
        this->issue(input, CommandAction::Unload, key, bytes, "", now, output);
}

bool Reconciler::isReplacedLocally(const ReconcileInput &input, const ItemKey &key) const
{
    const auto version = requiredVersion(input.requirements, key.kind, key.name);
    return version != key.version && this->ledger.isReady({key.kind, key.name, version});
}

bool Reconciler::prepareUnload(const ReconcileInput &input, const ItemKey &key, Instant now)
{
    if (key.kind == ItemKind::Adapter || !input.requirements.models.contains(key.name) ||
        this->isReplacedLocally(input, key))
        return true;
    if (!this->view.isHeldElsewhere(key.name))
        return false;
    auto &withdrawal =
        this->withdrawnHolds.try_emplace(key.name, Withdrawal{now, {}}).first->second;
    this->modelsToUnload.insert(key.name);
    if (!withdrawal.confirmationRequestedAt)
        withdrawal.confirmationRequestedAt = now;
    return now - withdrawal.since >= this->view.holdTimes().withdrawalDelay &&
           this->view.isHoldConfirmed(key.name, *withdrawal.confirmationRequestedAt, now);
}

bool Reconciler::hasReadyModel(const std::string &name) const
{
    const auto &entries = this->ledger.entries();
    return std::any_of(entries.begin(), entries.end(), [&](const auto &pair) {
        return pair.first.kind == ItemKind::Model && pair.first.name == name &&
               pair.second.phase == Phase::Ready;
    });
}

void Reconciler::updateHolds(const ReconcileInput &input, Instant now, ReconcileOutput &output)
{
    for (auto &[name, withdrawal] : this->withdrawnHolds) {
        if (!this->modelsToUnload.contains(name))
            withdrawal.confirmationRequestedAt.reset();
    }
    std::erase_if(this->withdrawnHolds, [&](const auto &pair) {
        const auto &[name, withdrawal] = pair;
        if (!this->hasReadyModel(name))
            return true;
        // If no other agent holds the model, this replica must be kept.
        if (!this->view.isHeldElsewhere(name))
            return true;
        const bool surplusReplica =
            !input.requested.models.contains(name) && this->view.hasHigherRankedReplica(name, true);
        return !surplusReplica && !withdrawal.confirmationRequestedAt &&
               now - withdrawal.since > MaxWithdrawalTime;
    });
    if (input.draining)
        return;
    for (const auto &[key, entry] : this->ledger.entries()) {
        if (key.kind != ItemKind::Model || entry.phase != Phase::Ready)
            continue;
        // The hold on a surplus replica is withdrawn early, so that its memory can be freed without
        // delay when it is needed.
        if (!input.requested.models.contains(key.name) && useCount(input, key) == 0 &&
            this->view.hasHigherRankedReplica(key.name, true))
            this->withdrawnHolds.try_emplace(key.name, Withdrawal{now, {}});
        const auto found = this->withdrawnHolds.find(key.name);
        if (found == this->withdrawnHolds.end())
            output.heldModels.insert(key.name);
        else if (found->second.confirmationRequestedAt)
            output.modelsToUnload.insert(key.name);
    }
    output.refreshStatus = this->view.isConfirmationRequested(output.heldModels);
}

} // namespace tray
