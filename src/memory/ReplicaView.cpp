#include "memory/ReplicaView.h"

#include "base/Hash.h"

#include <algorithm>

namespace tray {

namespace {

bool hasModel(const proto::UpstreamStatus &status, const std::string &model, bool includeLoading)
{
    return std::any_of(status.items().begin(), status.items().end(), [&](const auto &item) {
        return !item.adapter() && item.name() == model && (item.ready() || includeLoading);
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
    std::map<std::string, StatusEntry> next;
    for (const auto &status : statuses) {
        if (status->upstream() == this->ownUpstream || status->pool() != this->pool ||
            status->service())
            continue;
        const auto known = this->others.find(status->upstream());
        const bool same = known != this->others.end() &&
                          known->second.status->epoch() == status->epoch() &&
                          known->second.status->sequence() == status->sequence();
        next[status->upstream()] = {status, same ? known->second.receivedAt : now};
    }
    this->others = std::move(next);
}

template <typename Accept>
uint32_t ReplicaView::countServing(Accept accept) const
{
    uint32_t count = 0;
    for (const auto &[name, entry] : this->others) {
        if (isServing(*entry.status) && accept(name, entry))
            ++count;
    }
    return count;
}

uint32_t ReplicaView::countReplicas(const std::string &model, bool includeLoading) const
{
    return this->countServing([&](const std::string &, const StatusEntry &entry) {
        return hasModel(*entry.status, model, includeLoading);
    });
}

uint32_t ReplicaView::countReplicasOfVersion(const std::string &model,
                                             const std::string &version) const
{
    return this->countServing([&](const std::string &, const StatusEntry &entry) {
        const auto &items = entry.status->items();
        return std::any_of(items.begin(), items.end(), [&](const auto &item) {
            return !item.adapter() && item.name() == model && item.version() == version;
        });
    });
}

bool ReplicaView::isHeldElsewhere(const std::string &model) const
{
    return this->countServing([&](const std::string &, const StatusEntry &entry) {
        return hasModel(*entry.status, model, false) && holds(*entry.status, model);
    }) > 0;
}

bool ReplicaView::isHoldConfirmed(const std::string &model, Instant after, Instant now) const
{
    return this->countServing([&](const std::string &, const StatusEntry &entry) {
        return hasModel(*entry.status, model, false) && holds(*entry.status, model) &&
               entry.receivedAt > after && now - entry.receivedAt < this->times.maxStatusAge;
    }) > 0;
}

bool ReplicaView::hasHigherRankedReplica(const std::string &model, bool requireHold) const
{
    const uint64_t weight = rendezvousWeight(model, this->ownUpstream);
    return this->countServing([&](const std::string &name, const StatusEntry &entry) {
        return hasModel(*entry.status, model, false) &&
               (!requireHold || holds(*entry.status, model)) &&
               rendezvousWeight(model, name) > weight;
    }) > 0;
}

uint32_t ReplicaView::loadRank(const std::string &model) const
{
    const uint64_t weight = rendezvousWeight(model, this->ownUpstream);
    return this->countServing([&](const std::string &name, const StatusEntry &entry) {
        return !hasModel(*entry.status, model, true) && rendezvousWeight(model, name) > weight;
    });
}

bool ReplicaView::isConfirmationRequested(const std::set<std::string> &heldModels) const
{
    return std::any_of(this->others.begin(), this->others.end(), [&](const auto &pair) {
        const auto &releasing = pair.second.status->releasing_models();
        return std::any_of(releasing.begin(), releasing.end(),
                           [&](const auto &model) { return heldModels.contains(model); });
    });
}

} // namespace tray
