#include "agent/AttemptTable.h"

namespace tray {

AttemptTable::Lookup AttemptTable::registerAttempt(const AttemptId &id, proto::Attempt attempt,
                                                   uint64_t headVersion, Instant now)
{
    if (const auto known = this->records.find(id); known != this->records.end())
        return {known->second, false, false};
    if (const auto known = this->blockedIds.find(id); known != this->blockedIds.end())
        return {nullptr, false, known->second};
    auto record = std::make_shared<AttemptRecord>(this->executor, id, std::move(attempt),
                                                  headVersion, ++this->lastTicket, now);
    this->records[id] = record;
    this->byTicket[record->ticket] = record;
    return {std::move(record), true, false};
}

AttemptTable::Lookup AttemptTable::findForResume(const AttemptId &id, Instant now)
{
    if (const auto known = this->records.find(id); known != this->records.end())
        return {known->second, false, false};
    this->blockIdentity(id, false, now);
    return {nullptr, false, this->blockedIds.at(id)};
}

AttemptTable::Record AttemptTable::findByTicket(uint64_t ticket) const
{
    const auto found = this->byTicket.find(ticket);
    return found == this->byTicket.end() ? nullptr : found->second;
}

void AttemptTable::blockIdentity(const AttemptId &id, bool mayHaveRun, Instant now)
{
    if (this->blockedIds.emplace(id, mayHaveRun).second)
        this->blockedOrder.emplace_back(now + BlockedIdentityLifetime, id);
}

void AttemptTable::sweep(Instant now)
{
    for (auto it = this->records.begin(); it != this->records.end();) {
        const auto &record = *it->second;
        const bool done = record.isFinal() && (record.isAcknowledged() ||
                                               now - record.finalizedAt() >= EndedRecordLifetime);
        if (!done) {
            ++it;
            continue;
        }
        this->blockIdentity(it->first, record.stage() != AttemptStage::Refused, now);
        this->byTicket.erase(record.ticket);
        it = this->records.erase(it);
    }
    while (!this->blockedOrder.empty() && (this->blockedOrder.front().first <= now ||
                                           this->blockedOrder.size() > MaxBlockedIdentities)) {
        this->blockedIds.erase(this->blockedOrder.front().second);
        this->blockedOrder.pop_front();
    }
}

void AttemptTable::forEach(const std::function<void(const Record &)> &visit) const
{
    // The visitor must not change the table.
    for (const auto &[id, record] : this->records)
        visit(record);
}

size_t AttemptTable::openCount() const
{
    size_t count = 0;
    for (const auto &[id, record] : this->records)
        count += !record->isFinal() || (!record->isFinalSent() && !record->detachedSince());
    return count;
}

} // namespace tray
