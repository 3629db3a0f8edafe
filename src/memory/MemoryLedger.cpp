#include "memory/MemoryLedger.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace tray {

MemoryLedger::ReportEffect MemoryLedger::applyReport(const EngineStatus &report)
{
    const bool lostToken =
        report.sequence >= this->fencingSequence && report.fencing < this->acceptedFencing;
    const bool restarted = this->reported && (report.sequence < this->sequence || lostToken);
    if (this->reported && !restarted && report.sequence == this->sequence)
        return ReportEffect::Ignored;
    if (restarted)
        this->resetForRestart();
    this->capacity = report.memoryBytes;
    this->sequence = report.sequence;
    this->inheritedKvBytes =
        this->reported ? std::min(this->inheritedKvBytes, report.kvBytesUsed) : report.kvBytesUsed;
    this->reported = true;
    std::set<ItemKey> reportedItems;
    for (const auto &item : report.items) {
        reportedItems.insert(item.key);
        this->applyItem(item, report.sequence);
    }
    std::erase_if(this->entryTable, [&](const auto &pair) {
        const auto &[key, entry] = pair;
        if (reportedItems.contains(key))
            return false;
        // A load that no report has contained yet may still take effect.
        if (entry.phase == Phase::LoadSent)
            return false;
        if (entry.phase == Phase::UnloadSent)
            return entry.unloadSequence && report.sequence >= *entry.unloadSequence;
        return true;
    });
    return restarted ? ReportEffect::Restarted : ReportEffect::Applied;
}

void MemoryLedger::applyItem(const EngineItem &item, uint64_t reportSequence)
{
    auto &entry = this->entryTable[item.key];
    entry.bytes = std::max(entry.bytes, item.bytes);
    entry.accepted = true;
    if (item.state == ItemState::Unloading) {
        entry.phase = Phase::UnloadSent;
        if (!entry.unloadSequence)
            entry.unloadSequence = reportSequence + 1;
    } else if (entry.phase != Phase::UnloadSent) {
        entry.phase = item.state == ItemState::Ready ? Phase::Ready : Phase::Loading;
    }
}

void MemoryLedger::resetForRestart()
{
    // Commands that no process has answered may still reach the new process.
    std::erase_if(this->entryTable, [](const auto &pair) { return pair.second.accepted; });
    std::erase_if(this->entryTable,
                  [](const auto &pair) { return pair.second.phase != Phase::LoadSent; });
    this->sequence = 0;
    this->acceptedFencing = 0;
    this->fencingSequence = 0;
    this->inheritedKvBytes = 0;
    ++this->restarts;
}

bool MemoryLedger::chargeLoad(const ItemKey &key, uint64_t bytes, uint64_t headroomBytes)
{
    if (!this->reported || this->entryTable.contains(key))
        return false;
    const uint64_t freeBytes = this->free();
    if (bytes > freeBytes || headroomBytes > freeBytes - bytes)
        return false;
    this->entryTable[key].bytes = bytes;
    assert(this->charged() <= this->capacity);
    return true;
}

void MemoryLedger::noteUnload(const ItemKey &key)
{
    const auto found = this->entryTable.find(key);
    // An unload that overtakes an unconfirmed load would release memory that the load then uses.
    assert(found != this->entryTable.end() && found->second.phase != Phase::LoadSent);
    found->second.phase = Phase::UnloadSent;
    found->second.accepted = false;
    found->second.unloadSequence.reset();
}

MemoryLedger::SendSnapshot MemoryLedger::noteSent(const ItemKey &key)
{
    const auto found = this->entryTable.find(key);
    if (found != this->entryTable.end())
        found->second.accepted = false;
    return {this->sequence, this->restarts};
}

bool MemoryLedger::noteAccepted(const ItemKey &key, CommandAction action, uint64_t firstSequence,
                                uint64_t fencing, const SendSnapshot &snapshot)
{
    // The answer may come from the process before a restart that a later report has shown. The
    // command is then sent again.
    if (snapshot.restarts != this->restarts)
        return false;
    const bool restarted = firstSequence <= snapshot.sequence;
    if (restarted)
        this->resetForRestart();
    this->acceptedFencing = std::max(this->acceptedFencing, fencing);
    this->fencingSequence = std::max(this->fencingSequence, firstSequence);
    const auto found = this->entryTable.find(key);
    if (found == this->entryTable.end())
        return restarted;
    auto &entry = found->second;
    if (action == CommandAction::Load)
        entry.accepted = true;
    if (action == CommandAction::Unload && entry.phase == Phase::UnloadSent) {
        entry.accepted = true;
        if (!entry.unloadSequence)
            entry.unloadSequence = firstSequence;
    }
    return restarted;
}

bool MemoryLedger::reserveKv(uint64_t bytes)
{
    if (!this->reported || bytes > this->free())
        return false;
    this->reservedKvBytes += bytes;
    return true;
}

void MemoryLedger::releaseKv(uint64_t bytes)
{
    assert(bytes <= this->reservedKvBytes);
    this->reservedKvBytes -= bytes;
}

uint64_t MemoryLedger::charged() const
{
    uint64_t sum = this->reservedKvBytes + this->inheritedKvBytes;
    for (const auto &[key, entry] : this->entryTable)
        sum += entry.bytes;
    return sum;
}

uint64_t MemoryLedger::free() const
{
    const uint64_t used = this->charged();
    return used < this->capacity ? this->capacity - used : 0;
}

uint64_t MemoryLedger::pendingRelease() const
{
    uint64_t sum = 0;
    for (const auto &[key, entry] : this->entryTable)
        sum += entry.phase == Phase::UnloadSent ? entry.bytes : 0;
    return sum;
}

const MemoryLedger::Entry *MemoryLedger::find(const ItemKey &key) const
{
    const auto found = this->entryTable.find(key);
    return found == this->entryTable.end() ? nullptr : &found->second;
}

bool MemoryLedger::isReady(const ItemKey &key) const
{
    const auto *entry = this->find(key);
    return entry != nullptr && entry->phase == Phase::Ready;
}

} // namespace tray
