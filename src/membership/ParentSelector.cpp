#include "membership/ParentSelector.h"

namespace tray {

const proto::InstanceEntry *
ParentSelector::choose(const std::vector<proto::InstanceEntry> &candidates, Instant now) const
{
    for (const auto &candidate : candidates) {
        const auto found = this->retryStates.find(candidate.id());
        if (found == this->retryStates.end() || found->second.retryAt <= now)
            return &candidate;
    }
    return nullptr;
}

void ParentSelector::noteFailure(const std::string &id, Instant now, double random)
{
    auto &state = this->retryStates[id];
    state.retryAt = now + state.backoff.next(random);
}

void ParentSelector::retainOnly(const std::vector<proto::InstanceEntry> &candidates)
{
    std::erase_if(this->retryStates, [&](const auto &state) {
        return std::none_of(candidates.begin(), candidates.end(),
                            [&](const auto &candidate) { return candidate.id() == state.first; });
    });
}

} // namespace tray
