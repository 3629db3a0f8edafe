// Rules by which entries of the instance list come and go.
#include "fleet/UpstreamDirectory.h"

#include <set>

namespace tray {

bool UpstreamDirectory::noteStoreFailure(Instant calledAt)
{
    // A call from before the store's return, such as a watch on a dead path, tells of the failure
    // that is over.
    if (!this->failing && this->returnedAt && calledAt < *this->returnedAt)
        return false;
    this->failing = true;
    return true;
}

void UpstreamDirectory::noteStoreAnswer(Instant now)
{
    if (!this->failing)
        return;
    this->failing = false;
    this->returnedAt = now;
}

bool UpstreamDirectory::isListUnreliable(Instant now) const
{
    return this->failing || (this->returnedAt && now < *this->returnedAt + RelistGracePeriod);
}

UpstreamDirectory::Notices UpstreamDirectory::replaceAll(const std::vector<UpstreamEntry> &entries,
                                                         Instant now)
{
    Notices notices;
    std::set<std::string> listed;
    for (const auto &entry : entries) {
        listed.insert(entry.id);
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
    const auto &entry = change.entry;
    this->lapsed.erase(entry.id);
    const auto found = this->current.find(entry.id);
    if (found == this->current.end()) {
        this->current.emplace(entry.id, entry);
        return {{UpstreamEvent::Added, entry.id}};
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
    if (found == this->current.end() || this->lapsed.contains(id))
        return {};
    // An upstream that had announced its leave is gone whatever the store's condition.
    if (this->isListUnreliable(now) && found->second.phase != UpstreamPhase::Draining) {
        const Instant base = this->failing ? now : *this->returnedAt;
        this->lapsed[id] = base + RelistGracePeriod;
        return {{UpstreamEvent::Missing, id}};
    }
    this->current.erase(found);
    return {{UpstreamEvent::Removed, id}};
}

UpstreamDirectory::Notices UpstreamDirectory::removeExpired(Instant now)
{
    Notices notices;
    // While the store is away nothing can be listed again.
    if (this->failing)
        return notices;
    for (auto it = this->lapsed.begin(); it != this->lapsed.end();) {
        const Instant base = this->returnedAt ? *this->returnedAt + RelistGracePeriod : it->second;
        if (now < std::max(it->second, base)) {
            ++it;
            continue;
        }
        this->current.erase(it->first);
        notices.push_back({UpstreamEvent::Removed, it->first});
        it = this->lapsed.erase(it);
    }
    return notices;
}

} // namespace tray
