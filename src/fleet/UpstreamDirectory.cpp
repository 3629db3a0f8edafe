// Decides when an upstream that is missing from the instance list is removed.
#include "fleet/UpstreamDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tray {

std::optional<Instant> UpstreamDirectory::firstAnswerAfter(Instant calledAt) const
{
    const auto answer =
        std::upper_bound(this->answeredAt.begin(), this->answeredAt.end(), calledAt);
    return answer == this->answeredAt.end() ? std::nullopt : std::optional(*answer);
}

bool UpstreamDirectory::noteStoreFailure(Instant calledAt)
{
    // A call that began before an answer of the store, such as a watch on a broken connection,
    // fails because of an outage that is over.
    const auto answer = this->firstAnswerAfter(calledAt);
    if (!this->storeFailing && answer) {
        this->storeReturnedAt = std::max(this->storeReturnedAt.value_or(*answer), *answer);
        return false;
    }
    this->storeFailing = true;
    this->inDoubtSince.reset();
    return true;
}

bool UpstreamDirectory::noteEarlyFailure(Instant calledAt, Instant now)
{
    if (this->storeFailing || (this->inDoubtSince && calledAt >= *this->inDoubtSince))
        return this->noteStoreFailure(calledAt);
    const bool isOutdated = this->storeReturnedAt && calledAt < *this->storeReturnedAt;
    if (!isOutdated && !this->inDoubtSince)
        this->inDoubtSince = now;
    return false;
}

bool UpstreamDirectory::noteOverdueAnswer(Instant calledAt, Instant now)
{
    const bool isConfirmed =
        this->storeFailing || (this->inDoubtSince && calledAt >= *this->inDoubtSince);
    if (isConfirmed)
        return this->noteStoreFailure(calledAt);
    if (!this->inDoubtSince && !this->firstAnswerAfter(calledAt))
        this->inDoubtSince = now;
    return false;
}

void UpstreamDirectory::noteStoreAnswer(Instant now)
{
    this->inDoubtSince.reset();
    this->answeredAt.push_back(now);
    while (this->answeredAt.front() + AnswerMemory < now)
        this->answeredAt.pop_front();
    if (!this->storeFailing)
        return;
    this->storeFailing = false;
    this->storeReturnedAt = now;
}

void UpstreamDirectory::noteStoreRestored(Instant now)
{
    this->storeFailing = false;
    this->inDoubtSince.reset();
    this->storeReturnedAt = now;
    this->storeRestoredAt = now;
}

bool UpstreamDirectory::isReturnFromCopy(const UpstreamEntry &entry, Instant now) const
{
    if (!this->storeRestoredAt || now >= *this->storeRestoredAt + LapseTime)
        return false;
    const auto known = this->current.find(entry.id);
    if (known != this->current.end())
        return entry.startedAtMs < known->second.startedAtMs;
    const auto found = this->ended.find(entry.id);
    return found != this->ended.end() && entry.startedAtMs <= found->second.startedAtMs &&
           found->second.at <= *this->storeRestoredAt;
}

void UpstreamDirectory::erase(const std::string &id, Instant now)
{
    const auto found = this->current.find(id);
    this->ended[id] = {found->second.startedAtMs, now};
    this->current.erase(found);
}

bool UpstreamDirectory::isListUnreliable(Instant now) const
{
    return this->storeFailing ||
           (this->storeReturnedAt && now < *this->storeReturnedAt + RelistGracePeriod);
}

Duration UpstreamDirectory::unreliableTimeLeft(Instant now) const
{
    if (this->storeFailing)
        return RelistGracePeriod;
    if (!this->storeReturnedAt)
        return Duration::zero();
    return std::max<Duration>(*this->storeReturnedAt + RelistGracePeriod - now, Duration::zero());
}

void UpstreamDirectory::notePeerUnreliable(Duration left, Instant now)
{
    const Instant returnedAt =
        now + std::min<Duration>(left, RelistGracePeriod) - RelistGracePeriod;
    this->storeReturnedAt = std::max(this->storeReturnedAt.value_or(returnedAt), returnedAt);
}

UpstreamDirectory::Notices UpstreamDirectory::replaceAll(const std::vector<UpstreamEntry> &entries,
                                                         Instant now)
{
    Notices notices;
    std::set<std::string> listed;
    this->returnedEntries.clear();
    for (const auto &entry : entries) {
        listed.insert(entry.id);
        if (this->isReturnFromCopy(entry, now)) {
            if (!this->current.contains(entry.id))
                this->returnedEntries[entry.id] = entry;
            continue;
        }
        const auto more = this->apply({false, entry}, now);
        notices.insert(notices.end(), more.begin(), more.end());
    }
    std::vector<std::string> missing;
    for (const auto &[id, entry] : this->current) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto &id : missing) {
        const auto more = this->remove(id, now);
        notices.insert(notices.end(), more.begin(), more.end());
    }
    return notices;
}

UpstreamDirectory::Notices UpstreamDirectory::apply(const UpstreamChange &change, Instant now)
{
    if (change.removed)
        return this->remove(change.entry.id, now);
    auto entry = change.entry;
    this->missingEntries.erase(entry.id);
    this->returnedEntries.erase(entry.id);
    this->ended.erase(entry.id);
    const auto found = this->current.find(entry.id);
    if (found == this->current.end()) {
        this->current.emplace(entry.id, entry);
        return {{UpstreamEvent::Added, entry.id}};
    }
    // An incarnation that has announced its end does not become ready again. A store that was
    // restored from an older copy shows it as it was before.
    if (entry.startedAtMs == found->second.startedAtMs &&
        found->second.phase == UpstreamPhase::Draining && entry.phase == UpstreamPhase::Ready) {
        entry.phase = UpstreamPhase::Draining;
        entry.remainingLifetime = found->second.remainingLifetime;
    }
    auto event = UpstreamEvent::Updated;
    if (entry.startedAtMs != found->second.startedAtMs)
        event = UpstreamEvent::Restarted;
    else if (entry.phase == UpstreamPhase::Draining &&
             found->second.phase != UpstreamPhase::Draining)
        event = UpstreamEvent::Draining;
    found->second = entry;
    return {{event, entry.id}};
}

UpstreamDirectory::Notices UpstreamDirectory::remove(const std::string &id, Instant now)
{
    const auto found = this->current.find(id);
    this->returnedEntries.erase(id);
    if (found == this->current.end() || this->missingEntries.contains(id))
        return {};
    // A draining upstream is removed whatever the state of the store.
    if (this->isListUnreliable(now) && found->second.phase != UpstreamPhase::Draining) {
        const Instant base = this->storeFailing ? now : *this->storeReturnedAt;
        this->missingEntries[id] = base + RelistGracePeriod;
        return {{UpstreamEvent::Missing, id}};
    }
    this->erase(id, now);
    return {{UpstreamEvent::Removed, id}};
}

UpstreamDirectory::Notices UpstreamDirectory::removeExpired(Instant now)
{
    Notices notices;
    std::erase_if(this->ended,
                  [&](const auto &item) { return now >= item.second.at + EndedMemory; });
    // While the store is failing no upstream can be listed again.
    if (this->storeFailing)
        return notices;
    if (this->storeRestoredAt && now >= *this->storeRestoredAt + LapseTime) {
        for (const auto &[id, entry] : std::exchange(this->returnedEntries, {})) {
            const auto more = this->apply({false, entry}, now);
            notices.insert(notices.end(), more.begin(), more.end());
        }
    }
    for (auto it = this->missingEntries.begin(); it != this->missingEntries.end();) {
        const Instant base =
            this->storeReturnedAt ? *this->storeReturnedAt + RelistGracePeriod : it->second;
        if (now < std::max(it->second, base)) {
            ++it;
            continue;
        }
        this->erase(it->first, now);
        notices.push_back({UpstreamEvent::Removed, it->first});
        it = this->missingEntries.erase(it);
    }
    return notices;
}

} // namespace tray
