// Deltas of the instance list.
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

void InstanceHistory::note(const proto::InstanceList &before, const proto::InstanceList &after)
{
    const auto old = byId(before);
    const auto now = byId(after);
    Step step;
    step.before = before.revision();
    for (const auto &[id, entry] : now) {
        const auto known = old.find(id);
        if (known == old.end() || known->second->SerializeAsString() != entry->SerializeAsString())
            step.touched.push_back(id);
    }
    for (const auto &[id, entry] : old) {
        if (!now.contains(id))
            step.touched.push_back(id);
    }
    this->steps.push_back(std::move(step));
    if (this->steps.size() > MaxSteps)
        this->steps.pop_front();
}

proto::InstanceList InstanceHistory::since(uint64_t revision,
                                           const proto::InstanceList &current) const
{
    const auto first = std::find_if(this->steps.begin(), this->steps.end(),
                                    [&](const Step &step) { return step.before == revision; });
    std::set<std::string> touched;
    for (auto step = first; step != this->steps.end(); ++step)
        touched.insert(step->touched.begin(), step->touched.end());
    const auto size = static_cast<size_t>(current.instances_size());
    if (revision == 0 || first == this->steps.end() || touched.size() > size / 2)
        return current;
    proto::InstanceList delta;
    delta.set_base_revision(revision);
    delta.set_revision(current.revision());
    const auto entries = byId(current);
    for (const auto &id : touched) {
        const auto found = entries.find(id);
        if (found == entries.end())
            delta.add_removed(id);
        else
            *delta.add_instances() = *found->second;
    }
    return delta;
}

std::optional<proto::InstanceList> applyInstances(const proto::InstanceList &list,
                                                  const proto::InstanceList &message)
{
    if (message.base_revision() == 0)
        return message;
    if (message.base_revision() != list.revision())
        return std::nullopt;
    auto entries = byId(list);
    for (const auto &id : message.removed())
        entries.erase(id);
    for (const auto &entry : message.instances())
        entries[entry.id()] = &entry;
    proto::InstanceList result;
    result.set_revision(message.revision());
    for (const auto &[id, entry] : entries)
        *result.add_instances() = *entry;
    return result;
}

} // namespace tray
