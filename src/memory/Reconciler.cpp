// Orders to one engine.
#include "memory/Reconciler.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace tray {

namespace {

using Phase = MemoryLedger::Phase;

// A replica that is not wanted any more is held again if it was not unloaded within this time.
constexpr auto WithdrawalLimit = std::chrono::seconds(30);
constexpr uint32_t LowestTier = std::numeric_limits<uint32_t>::max();

uint32_t useOf(const ReconcileInput &input, const ItemKey &key)
{
    const auto found = input.inUse.find(key);
    return found == input.inUse.end() ? 0 : found->second;
}

std::string specVersion(const ItemSpecs &specs, ItemKind kind, const std::string &name)
{
    if (kind == ItemKind::Model) {
        const auto found = specs.models.find(name);
        return found == specs.models.end() ? std::string() : found->second.version;
    }
    const auto found = specs.adapters.find(name);
    return found == specs.adapters.end() ? std::string() : found->second.version;
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
    this->askedNow.clear();
    this->view.update(input.statuses, now);
    this->noteUse(input, now);
    this->settlePending();
    if (this->ledger.hasReport()) {
        this->resendPending(input, now, output);
        this->dropReplaced(input, now, output);
        if (input.mayLoad && !input.draining)
            this->loadWanted(input, this->collectWants(input, now), now, output);
    }
    this->updateHolds(input, now, output);
    return output;
}

void Reconciler::noteUse(const ReconcileInput &input, Instant now)
{
    std::erase_if(this->lastUse,
                  [&](const auto &pair) { return this->ledger.find(pair.first) == nullptr; });
    for (const auto &[key, entry] : this->ledger.entries()) {
        const auto [place, isNew] = this->lastUse.try_emplace(key, now);
        if (!isNew && useOf(input, key) > 0)
            place->second = now;
    }
}

void Reconciler::settlePending()
{
    std::erase_if(this->pending, [&](const auto &pair) {
        const auto *entry = this->ledger.find(pair.first);
        if (entry == nullptr)
            return true;
        const bool isLoad = pair.second.order.action == OrderAction::Load;
        return isLoad ? entry->phase != Phase::LoadSent : entry->phase != Phase::UnloadSent;
    });
}

void Reconciler::resendPending(const ReconcileInput &input, Instant now, ReconcileOutput &output)
{
    for (auto &[key, item] : this->pending) {
        if (now - item.sentAt < this->times.resend)
            continue;
        item.sentAt = now;
        item.order.fencing = input.fencing;
        output.orders.push_back(item.order);
    }
}

void Reconciler::send(const ReconcileInput &input, OrderAction action, const ItemKey &key,
                      uint64_t bytes, const std::string &base, Instant now, ReconcileOutput &output)
{
    EngineOrder order;
    order.id = this->upstream + "-" + std::to_string(input.fencing) + "-" +
               std::to_string(++this->orderCount);
    order.fencing = input.fencing;
    order.action = action;
    order.key = key;
    order.bytes = bytes;
    order.base = base;
    if (action == OrderAction::Unload)
        this->ledger.noteUnload(key);
    ++this->moves;
    this->pending[key] = {order, now};
    output.orders.push_back(std::move(order));
}

void Reconciler::addWant(std::vector<Want> &wants, const ItemSpecs &specs, ItemKind kind,
                         const std::string &name, uint32_t urgency, uint32_t tierRank,
                         uint32_t waiting) const
{
    Want want{{kind, name, specVersion(specs, kind, name)}};
    if (want.key.version.empty())
        return;
    if (kind == ItemKind::Adapter) {
        const auto &spec = specs.adapters.at(name);
        want.bytes = spec.bytes;
        want.base = spec.base;
    } else {
        want.bytes = specs.models.at(name).bytes;
    }
    want.urgency = urgency;
    want.tierRank = tierRank;
    want.waiting = waiting;
    wants.push_back(std::move(want));
}

std::vector<Reconciler::Want> Reconciler::collectWants(const ReconcileInput &input, Instant now)
{
    std::vector<Want> wants;
    for (const auto &demand : input.demand)
        this->addWant(wants, input.specs, demand.kind, demand.name, 0, demand.tierRank,
                      demand.waiting);
    for (const auto &name : this->missingModels(input, now))
        this->addWant(wants, input.specs, ItemKind::Model, name, 0, LowestTier, 0);
    for (const auto &name : input.wish.models)
        this->addWant(wants, input.specs, ItemKind::Model, name, 1, LowestTier, 0);
    for (const auto &name : input.wish.adapters)
        this->addWant(wants, input.specs, ItemKind::Adapter, name, 1, LowestTier, 0);
    // An item that is here in another version is wanted in the version in force.
    for (const auto &[key, entry] : this->ledger.entries()) {
        const auto version = specVersion(input.specs, key.kind, key.name);
        if (entry.phase == Phase::Ready && version != key.version)
            this->addWant(wants, input.specs, key.kind, key.name, 1, LowestTier, 0);
    }
    std::stable_sort(wants.begin(), wants.end(), [](const Want &a, const Want &b) {
        return std::tuple(a.urgency, a.tierRank, b.waiting) <
               std::tuple(b.urgency, b.tierRank, a.waiting);
    });
    return wants;
}

std::set<std::string> Reconciler::missingModels(const ReconcileInput &input, Instant now)
{
    std::set<std::string> missing;
    std::set<std::string> here;
    for (const auto &[key, entry] : this->ledger.entries()) {
        if (key.kind == ItemKind::Model && entry.phase != Phase::UnloadSent)
            here.insert(key.name);
    }
    for (const auto &[name, spec] : input.specs.models) {
        const uint32_t needed = std::max(1u, spec.minReplicas);
        const bool few = this->view.replicas(name, true) < needed;
        const bool old = !few && this->view.replicasOfVersion(name, spec.version) == 0;
        if (!input.mayRepair || here.contains(name) || !(few || old)) {
            this->missingSince.erase(name);
            continue;
        }
        const auto since = this->missingSince.try_emplace(name, now).first->second;
        const Duration turn = this->view.loadRank(name) * this->times.repairStep;
        if (now - since >= turn + (few ? Duration::zero() : this->times.replaceInPlace))
            missing.insert(name);
    }
    std::erase_if(this->missingSince,
                  [&](const auto &pair) { return !input.specs.models.contains(pair.first); });
    return missing;
}

void Reconciler::loadWanted(const ReconcileInput &input, const std::vector<Want> &wants,
                            Instant now, ReconcileOutput &output)
{
    std::set<ItemKey> wanted;
    for (const auto &want : wants)
        wanted.insert(want.key);
    std::set<ItemKey> considered;
    const uint64_t reserve = this->ledger.memoryBytes() / KvReserveDivisor;
    // Adapters may use half of it: an engine that models have filled would refuse theirs for good.
    const uint64_t adapterReserve = reserve / 2;
    this->keepKvReserve(input, wanted, reserve, adapterReserve, now, output);
    // Room that more important wants are waiting for.
    uint64_t promised = 0;
    for (const auto &want : wants) {
        if (this->ledger.find(want.key) != nullptr || !considered.insert(want.key).second)
            continue;
        if (want.key.kind == ItemKind::Adapter && !this->hasReadyModel(want.base))
            continue;
        const uint64_t spare = want.key.kind == ItemKind::Adapter ? adapterReserve : reserve;
        if (this->ledger.chargeLoad(want.key, want.bytes, spare + promised)) {
            this->send(input, OrderAction::Load, want.key, want.bytes, want.base, now, output);
            continue;
        }
        const uint64_t total = promised + want.bytes + spare;
        const uint64_t available = this->ledger.free() + this->ledger.pendingRelease();
        if (total <= this->ledger.memoryBytes() && total > available)
            this->makeRoom(input, wanted, total - available, now, output);
        if (total <= this->ledger.free() + this->ledger.pendingRelease())
            promised += want.bytes;
        else
            output.infeasible.insert(want.key);
    }
}

void Reconciler::keepKvReserve(const ReconcileInput &input, const std::set<ItemKey> &wanted,
                               uint64_t reserve, uint64_t adapterReserve, Instant now,
                               ReconcileOutput &output)
{
    uint64_t models = 0;
    uint64_t items = 0;
    for (const auto &[key, entry] : this->ledger.entries()) {
        const uint64_t kept = entry.phase == Phase::UnloadSent ? 0 : entry.bytes;
        items += kept;
        models += key.kind == ItemKind::Model ? kept : 0;
    }
    const uint64_t used = std::max(models + reserve, items + adapterReserve);
    if (used > this->ledger.memoryBytes())
        this->makeRoom(input, wanted, used - this->ledger.memoryBytes(), now, output);
}

void Reconciler::makeRoom(const ReconcileInput &input, const std::set<ItemKey> &wanted,
                          uint64_t needed, Instant now, ReconcileOutput &output)
{
    struct Candidate
    {
        Instant lastUse;
        ItemKey key;
        uint64_t bytes;
    };
    std::vector<Candidate> candidates;
    uint64_t possible = 0;
    for (const auto &[key, entry] : this->ledger.entries()) {
        if (entry.phase != Phase::Ready || wanted.contains(key) || useOf(input, key) > 0)
            continue;
        if (key.kind == ItemKind::Model && input.specs.models.contains(key.name) &&
            !this->isReplacedHere(input, key) && !this->view.isHeldElsewhere(key.name))
            continue;
        candidates.push_back({this->lastUse[key], key, entry.bytes});
        possible += entry.bytes;
    }
    if (possible < needed)
        return;
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::tie(a.lastUse, a.key) < std::tie(b.lastUse, b.key);
    });
    for (const auto &candidate : candidates) {
        if (needed == 0)
            return;
        if (!this->mayUnload(input, candidate.key, now))
            continue;
        this->send(input, OrderAction::Unload, candidate.key, candidate.bytes, "", now, output);
        needed -= std::min(needed, candidate.bytes);
    }
}

void Reconciler::dropReplaced(const ReconcileInput &input, Instant now, ReconcileOutput &output)
{
    std::vector<std::pair<ItemKey, uint64_t>> drops;
    for (const auto &[key, entry] : this->ledger.entries()) {
        const bool known = !specVersion(input.specs, key.kind, key.name).empty();
        if (entry.phase == Phase::Ready && useOf(input, key) == 0 &&
            (!known || this->isReplacedHere(input, key)))
            drops.emplace_back(key, entry.bytes);
    }
    for (const auto &[key, bytes] : drops)
        this->send(input, OrderAction::Unload, key, bytes, "", now, output);
}

bool Reconciler::isReplacedHere(const ReconcileInput &input, const ItemKey &key) const
{
    const auto version = specVersion(input.specs, key.kind, key.name);
    return version != key.version && this->ledger.isReady({key.kind, key.name, version});
}

bool Reconciler::mayUnload(const ReconcileInput &input, const ItemKey &key, Instant now)
{
    if (key.kind == ItemKind::Adapter || !input.specs.models.contains(key.name) ||
        this->isReplacedHere(input, key))
        return true;
    if (!this->view.isHeldElsewhere(key.name))
        return false;
    auto &withdrawal = this->withdrawn.try_emplace(key.name, Withdrawal{now, {}}).first->second;
    this->askedNow.insert(key.name);
    if (!withdrawal.askedAt)
        withdrawal.askedAt = now;
    return now - withdrawal.since >= this->view.holdTimes().validity &&
           this->view.isHoldConfirmed(key.name, *withdrawal.askedAt, now);
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
    for (auto &[name, withdrawal] : this->withdrawn) {
        if (!this->askedNow.contains(name))
            withdrawal.askedAt.reset();
    }
    std::erase_if(this->withdrawn, [&](const auto &pair) {
        const auto &[name, withdrawal] = pair;
        if (!this->hasReadyModel(name))
            return true;
        // Without another holder, this replica must be kept.
        if (!this->view.isHeldElsewhere(name))
            return true;
        const bool spareReplica =
            !input.wish.models.contains(name) && this->view.hasEarlierReplica(name, true);
        return !spareReplica && !withdrawal.askedAt && now - withdrawal.since > WithdrawalLimit;
    });
    if (input.draining)
        return;
    for (const auto &[key, entry] : this->ledger.entries()) {
        if (key.kind != ItemKind::Model || entry.phase != Phase::Ready)
            continue;
        // A spare replica is given up early, so that its memory is free soon when it is needed.
        if (!input.wish.models.contains(key.name) && useOf(input, key) == 0 &&
            this->view.hasEarlierReplica(key.name, true))
            this->withdrawn.try_emplace(key.name, Withdrawal{now, {}});
        const auto found = this->withdrawn.find(key.name);
        if (found == this->withdrawn.end())
            output.heldModels.insert(key.name);
        else if (found->second.askedAt)
            output.releasingModels.insert(key.name);
    }
    output.refreshStatus = this->view.isAskedFor(output.heldModels);
}

} // namespace tray
