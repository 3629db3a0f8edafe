// Checks the conditions of writes and keeps the bounded log of changes.
#include "PlatformStore.h"

namespace tray {

const PlatformStore::Object *PlatformStore::find(const std::string &key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? nullptr : &found->second;
}

std::optional<uint64_t> PlatformStore::write(const std::string &key, std::string value,
                                             uint64_t expected)
{
    const auto *current = this->find(key);
    if ((current == nullptr ? 0 : current->version) != expected)
        return std::nullopt;
    this->recordChange(key, false);
    this->objects[key] = {std::move(value), this->currentRevision};
    return this->currentRevision;
}

bool PlatformStore::remove(const std::string &key, uint64_t expected)
{
    const auto *current = this->find(key);
    if (current == nullptr || current->version != expected)
        return false;
    this->objects.erase(key);
    this->recordChange(key, true);
    return true;
}

std::vector<PlatformStore::Change> PlatformStore::list(const std::string &prefix) const
{
    std::vector<Change> rows;
    for (auto it = this->objects.lower_bound(prefix);
         it != this->objects.end() && it->first.starts_with(prefix); ++it)
        rows.push_back({it->first, it->second.version, false});
    return rows;
}

std::optional<std::vector<PlatformStore::Change>>
PlatformStore::changesAfter(const std::string &prefix, uint64_t after) const
{
    if (after < this->oldestWatchableRevision || after > this->currentRevision)
        return std::nullopt;
    std::map<std::string, Change> newest;
    for (auto it = this->log.rbegin(); it != this->log.rend() && it->version > after; ++it) {
        if (it->key.starts_with(prefix))
            newest.try_emplace(it->key, *it);
    }
    std::vector<Change> rows;
    for (auto &[key, change] : newest)
        rows.push_back(std::move(change));
    return rows;
}

void PlatformStore::compact()
{
    this->log.clear();
    this->oldestWatchableRevision = this->currentRevision;
}

void PlatformStore::recordChange(const std::string &key, bool deleted)
{
    ++this->currentRevision;
    this->log.push_back({key, this->currentRevision, deleted});
    if (this->log.size() > MaxLogEntries) {
        this->oldestWatchableRevision = this->log.front().version;
        this->log.pop_front();
    }
}

} // namespace tray
