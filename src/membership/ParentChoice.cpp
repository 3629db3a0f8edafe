// Choice of a parent.
#include "membership/ParentChoice.h"

namespace tray {

const proto::InstanceEntry *
ParentChoice::choose(const std::vector<proto::InstanceEntry> &candidates, Instant now) const
{
    for (const auto &candidate : candidates) {
        const auto found = this->pauses.find(candidate.id());
        if (found == this->pauses.end() || found->second.until <= now)
            return &candidate;
    }
    return nullptr;
}

void ParentChoice::failed(const std::string &id, Instant now, double random)
{
    auto &pause = this->pauses[id];
    pause.until = now + pause.backoff.next(random);
}

void ParentChoice::keepOnly(const std::vector<proto::InstanceEntry> &candidates)
{
    std::erase_if(this->pauses, [&](const auto &pause) {
        return std::none_of(candidates.begin(), candidates.end(),
                            [&](const auto &candidate) { return candidate.id() == pause.first; });
    });
}

} // namespace tray
