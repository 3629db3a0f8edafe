// Stores the committed claim records in a hash table.
#include "claims/ClaimTable.h"

namespace tray {

namespace {

constexpr WallMs PurgeIntervalMs = 1000;

}

void ClaimTable::apply(const proto::ClaimRecord &record)
{
    this->records[record.key()] = {record, 0};
}

void ClaimTable::moveToPeriod(const proto::ClaimRecord &record, uint64_t period)
{
    const auto found = this->records.find(record.key());
    const bool hasAnswer =
        record.state() == proto::CLAIM_STATE_FINISHED && !record.answer_dropped();
    if (!hasAnswer || found == this->records.end() ||
        found->second.record.claim_id() != record.claim_id())
        return;
    // Swapping with an empty string also frees the memory.
    std::string().swap(*found->second.record.mutable_answer());
    found->second.period = period;
}

uint64_t ClaimTable::periodOf(const std::string &key, const std::string &claimId) const
{
    const auto found = this->records.find(key);
    const bool isSame = found != this->records.end() && found->second.record.claim_id() == claimId;
    return isSame ? found->second.period : 0;
}

const proto::ClaimRecord *ClaimTable::find(const std::string &key, WallMs wall) const
{
    const auto found = this->records.find(key);
    if (found == this->records.end() || this->isExpired(found->second.record.claimed_at_ms(), wall))
        return nullptr;
    return &found->second.record;
}

void ClaimTable::purge(WallMs wall)
{
    if (wall < this->lastPurgeAt + PurgeIntervalMs)
        return;
    this->lastPurgeAt = wall;
    std::erase_if(this->records, [&](const auto &entry) {
        return this->isExpired(entry.second.record.claimed_at_ms(), wall);
    });
}

} // namespace tray
