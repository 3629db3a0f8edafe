// Attempts by identity.
#include "agent/AttemptTable.h"

namespace tray {

AttemptTable::Lookup AttemptTable::arrive(const AttemptId &id, proto::Attempt attempt,
                                          uint64_t headVersion, Instant now)
{
    if (const auto known = this->records.find(id); known != this->records.end())
        return {known->second, false, false};
    if (const auto known = this->spent.find(id); known != this->spent.end())
        return {nullptr, false, known->second};
    auto record = std::make_shared<AttemptRecord>(this->executor, id, std::move(attempt),
                                                  headVersion, ++this->tickets, now);
    this->records[id] = record;
    this->byTicket[record->ticket] = record;
    return {std::move(record), true, false};
}

AttemptTable::Lookup AttemptTable::resume(const AttemptId &id, Instant now)
{
    if (const auto known = this->records.find(id); known != this->records.end())
        return {known->second, false, false};
    this->spend(id, false, now);
    return {nullptr, false, this->spent.at(id)};
}

AttemptTable::Record AttemptTable::findTicket(uint64_t ticket) const
{
    const auto found = this->byTicket.find(ticket);
    return found == this->byTicket.end() ? nullptr : found->second;
}

void AttemptTable::spend(const AttemptId &id, bool mayHaveRun, Instant now)
{
    if (this->spent.emplace(id, mayHaveRun).second)
        this->spentOrder.emplace_back(now + KeepIdentity, id);
}

void AttemptTable::sweep(Instant now)
{
    for (auto it = this->records.begin(); it != this->records.end();) {
        const auto &record = *it->second;
        const bool done =
            record.isFinal() && (record.isAcknowledged() || now - record.finalSince() >= KeepEnded);
        if (!done) {
            ++it;
            continue;
        }
        this->spend(it->first, record.stage() != AttemptStage::Refused, now);
        this->byTicket.erase(record.ticket);
        it = this->records.erase(it);
    }
    while (!this->spentOrder.empty() &&
           (this->spentOrder.front().first <= now || this->spentOrder.size() > MostIdentities)) {
        this->spent.erase(this->spentOrder.front().second);
        this->spentOrder.pop_front();
    }
}

void AttemptTable::forEach(const std::function<void(const Record &)> &visit) const
{
    // A visit may not change the table.
    for (const auto &[id, record] : this->records)
        visit(record);
}

size_t AttemptTable::open() const
{
    size_t count = 0;
    for (const auto &[id, record] : this->records)
        count += !record->isFinal() || (!record->isFinalSent() && !record->detachedSince());
    return count;
}

} // namespace tray
