// Publishes a new version of the list on each change and selects the one that callers may see.
#include "PlatformInstances.h"

namespace tray {

void PlatformInstances::put(PlatformInstance instance, Instant now)
{
    this->removalTimes.erase(instance.id);
    this->instances[instance.id] = std::move(instance);
    this->publish(now);
}

bool PlatformInstances::markLeaving(const std::string &id, Instant now, Duration retention)
{
    const auto found = this->instances.find(id);
    if (found == this->instances.end())
        return false;
    this->removalTimes.try_emplace(id, now + retention);
    if (!found->second.leaving) {
        found->second.leaving = true;
        this->publish(now);
    }
    return true;
}

void PlatformInstances::remove(const std::string &id, Instant now)
{
    this->removalTimes.erase(id);
    if (this->instances.erase(id) > 0)
        this->publish(now);
}

void PlatformInstances::expire(Instant now)
{
    std::vector<std::string> expired;
    for (const auto &[id, removeAt] : this->removalTimes) {
        if (removeAt <= now)
            expired.push_back(id);
    }
    for (const auto &id : expired)
        this->remove(id, now);
}

const PlatformInstances::View &PlatformInstances::laggedView(Instant now, Duration lag)
{
    while (this->views.size() > 1 && this->views[1].first + lag <= now)
        this->views.pop_front();
    return this->views.front().second;
}

void PlatformInstances::publish(Instant now)
{
    View view{++this->revision, {}};
    for (const auto &[id, instance] : this->instances)
        view.instances.push_back(instance);
    this->views.emplace_back(now, std::move(view));
}

} // namespace tray
