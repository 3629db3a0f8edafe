// Replicas and holds as the status table shows them.
#include "memory/ReplicaView.h"

#include "base/Hash.h"

#include <algorithm>

namespace tray {

namespace {

bool hasModel(const proto::UpstreamStatus &status, const std::string &model, bool withLoading)
{
    return std::any_of(status.items().begin(), status.items().end(), [&](const auto &item) {
        return !item.adapter() && item.name() == model && (item.ready() || withLoading);
    });
}

bool holds(const proto::UpstreamStatus &status, const std::string &model)
{
    const auto &held = status.held_models();
    return std::find(held.begin(), held.end(), model) != held.end();
}

bool isServing(const proto::UpstreamStatus &status)
{
    return !status.draining() && !status.lost();
}

} // namespace

void ReplicaView::update(const StatusList &statuses, Instant now)
{
    std::map<std::string, Seen> next;
    for (const auto &status : statuses) {
        if (status->upstream() == this->own || status->pool() != this->pool || status->service())
            continue;
        const auto known = this->others.find(status->upstream());
        const bool same = known != this->others.end() &&
                          known->second.status->epoch() == status->epoch() &&
                          known->second.status->sequence() == status->sequence();
        next[status->upstream()] = {status, same ? known->second.since : now};
    }
    this->others = std::move(next);
}

template <typename Accept>
uint32_t ReplicaView::countOthers(Accept accept) const
{
    uint32_t count = 0;
    for (const auto &[name, seen] : this->others) {
        if (isServing(*seen.status) && accept(name, seen))
            ++count;
    }
    return count;
}

uint32_t ReplicaView::replicas(const std::string &model, bool withLoading) const
{
    return this->countOthers([&](const std::string &, const Seen &seen) {
        return hasModel(*seen.status, model, withLoading);
    });
}

uint32_t ReplicaView::replicasOfVersion(const std::string &model, const std::string &version) const
{
    return this->countOthers([&](const std::string &, const Seen &seen) {
        const auto &items = seen.status->items();
        return std::any_of(items.begin(), items.end(), [&](const auto &item) {
            return !item.adapter() && item.name() == model && item.version() == version;
        });
    });
}

bool ReplicaView::isHeldElsewhere(const std::string &model) const
{
    return this->countOthers([&](const std::string &, const Seen &seen) {
        return hasModel(*seen.status, model, false) && holds(*seen.status, model);
    }) > 0;
}

bool ReplicaView::isHoldConfirmed(const std::string &model, Instant since, Instant now) const
{
    return this->countOthers([&](const std::string &, const Seen &seen) {
        return hasModel(*seen.status, model, false) && holds(*seen.status, model) &&
               seen.since > since && now - seen.since < this->times.freshness;
    }) > 0;
}

bool ReplicaView::hasEarlierReplica(const std::string &model, bool withHold) const
{
    const uint64_t weight = rendezvousWeight(model, this->own);
    return this->countOthers([&](const std::string &name, const Seen &seen) {
        return hasModel(*seen.status, model, false) && (!withHold || holds(*seen.status, model)) &&
               rendezvousWeight(model, name) > weight;
    }) > 0;
}

uint32_t ReplicaView::loadRank(const std::string &model) const
{
    const uint64_t weight = rendezvousWeight(model, this->own);
    return this->countOthers([&](const std::string &name, const Seen &seen) {
        return !hasModel(*seen.status, model, true) && rendezvousWeight(model, name) > weight;
    });
}

bool ReplicaView::isAskedFor(const std::set<std::string> &heldModels) const
{
    return std::any_of(this->others.begin(), this->others.end(), [&](const auto &pair) {
        const auto &asked = pair.second.status->releasing_models();
        return std::any_of(asked.begin(), asked.end(),
                           [&](const auto &model) { return heldModels.contains(model); });
    });
}

} // namespace tray
