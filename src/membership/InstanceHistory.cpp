#include "membership/InstanceHistory.h"

#include <algorithm>
#include <map>
#include <set>

namespace tray {

namespace {

using Entries = std::map<std::string, const proto::InstanceEntry *>;

Entries byId(const proto::InstanceList &list)
{
    Entries entries;
    for (const auto &entry : list.instances())
        entries[entry.id()] = &entry;
    return entries;
}

} // namespace

void InstanceHistory::recordChange(const proto::InstanceList &before,
                                   const proto::InstanceList &after)
{
    const auto oldEntries = byId(before);
    const auto newEntries = byId(after);
    Step step;
    step.before = before.revision();
    for (const auto &[id, entry] : newEntries) {
        const auto known = oldEntries.find(id);
        if (known == oldEntries.end() ||
            known->second->SerializeAsString() != entry->SerializeAsString())
            step.changedIds.push_back(id);
    }
    for (const auto &[id, entry] : oldEntries) {
        if (!newEntries.contains(id))
            step.changedIds.push_back(id);
    }
    this->steps.push_back(std::move(step));
    if (this->steps.size() > MaxSteps)
        this->steps.pop_front();
}

proto::InstanceList InstanceHistory::updateSince(uint64_t revision,
                                                 const proto::InstanceList &current) const
{
    const auto first = std::find_if(this->steps.begin(), this->steps.end(),
                                    [&](const Step &step) { return step.before == revision; });
    std::set<std::string> changedIds;
    for (auto step = first; step != this->steps.end(); ++step)
        changedIds.insert(step->changedIds.begin(), step->changedIds.end());
    const auto size = static_cast<size_t>(current.instances_size());
    if (revision == 0 || first == this->steps.end() || changedIds.size() > size / 2)
        return current;
    proto::InstanceList delta;
    delta.set_base_revision(revision);
    delta.set_revision(current.revision());
    const auto entries = byId(current);
    for (const auto &id : changedIds) {
        const auto found = entries.find(id);
        if (found == entries.end())
            delta.add_removed(id);
        else
            *delta.add_instances() = *found->second;
    }
    return delta;
}

std::optional<proto::InstanceList> applyInstanceUpdate(const proto::InstanceList &list,
                                                       const proto::InstanceList &update)
{
    if (update.base_revision() == 0)
        return update;
    if (update.base_revision() != list.revision())
        return std::nullopt;
    auto entries = byId(list);
    for (const auto &id : update.removed())
        entries.erase(id);
    for (const auto &entry : update.instances())
        entries[entry.id()] = &entry;
    proto::InstanceList result;
    result.set_revision(update.revision());
    for (const auto &[id, entry] : entries)
        *result.add_instances() = *entry;
    return result;
}

} // namespace tray
