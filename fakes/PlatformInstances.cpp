// Lagging instance list.
#include "PlatformInstances.h"

namespace tray {

void PlatformInstances::put(PlatformInstance instance, Instant now)
{
    this->leavingUntil.erase(instance.id);
    this->instances[instance.id] = std::move(instance);
    this->publish(now);
}

bool PlatformInstances::leave(const std::string &id, Instant now, Duration keep)
{
    const auto found = this->instances.find(id);
    if (found == this->instances.end())
        return false;
    this->leavingUntil.try_emplace(id, now + keep);
    if (!found->second.leaving) {
        found->second.leaving = true;
        this->publish(now);
    }
    return true;
}

void PlatformInstances::drop(const std::string &id, Instant now)
{
    this->leavingUntil.erase(id);
    if (this->instances.erase(id) > 0)
        this->publish(now);
}

void PlatformInstances::expire(Instant now)
{
    std::vector<std::string> due;
    for (const auto &[id, until] : this->leavingUntil) {
        if (until <= now)
            due.push_back(id);
    }
    for (const auto &id : due)
        this->drop(id, now);
}

const PlatformInstances::View &PlatformInstances::view(Instant now, Duration lag)
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
