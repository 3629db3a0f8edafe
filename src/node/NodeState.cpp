// Rules by which neighbours in the relay tree exchange their state.
#include "node/NodeState.h"

#include <algorithm>
#include <set>

namespace tray {

namespace {

// Maximum number of processes behind the highest head whose names are sent up the tree.
constexpr int MaxLagging = 8;

} // namespace

NodeState::NodeState(NodeIdentity identity, uint64_t changeLogId, Duration maxContactAge)
    : identity(std::move(identity)), changeLogId(changeLogId), maxContactAge(maxContactAge),
      instanceList(std::make_shared<const proto::InstanceList>())
{
    this->self.set_id(this->identity.instance);
    this->self.set_data_centre(this->identity.dataCentre);
    this->self.set_region(this->identity.region);
    this->relayTree = RelayTree(*this->instanceList, this->self);
}

NodeState::Poll NodeState::makePoll(const std::string &parentId, Instant now)
{
    this->orphanTimerStart.reset();
    if (this->parent.id != parentId) {
        this->parent = {};
        this->parent.id = parentId;
    }
    Poll poll{parentId, this->makeQuery(), this->statusTable.position(), now};
    auto &request = poll.request;
    request.set_instance(this->identity.instance);
    request.set_relay(this->relayTree.isRelay());
    request.set_journal(this->parent.changeLogId);
    request.set_cursor(this->parent.parentPosition);
    *request.mutable_in_force() = this->subtreeInForce(now);
    for (const auto &status : this->statusTable.changedInSubtree(this->parent.ownAckedPosition))
        *request.add_statuses() = *status;
    for (auto &demand : this->demandAggregator.takeForParent())
        *request.add_demand() = std::move(demand);
    for (auto &suspect : this->suspectTable.recentChanges(now, this->parent.changeLogId == 0))
        *request.add_suspects() = std::move(suspect);
    return poll;
}

void NodeState::onPollFailed(const Poll &poll, Instant now)
{
    for (const auto &demand : poll.request.demand())
        this->demandAggregator.addFromBelow(demand);
    this->failedParents.try_emplace(poll.parent, now);
    if (this->parent.id == poll.parent)
        this->parent = {};
}

proto::SyncRequest NodeState::makeQuery() const
{
    proto::SyncRequest request;
    request.set_head_version(this->headVersion());
    request.set_instance_revision(this->instanceList->revision());
    for (const auto &[region, placement] : this->placements)
        (*request.mutable_wish_versions())[region] = placement.version();
    return request;
}

proto::SyncReply NodeState::answer(const proto::SyncRequest &request, Instant now)
{
    proto::SyncReply reply;
    reply.set_head_version(this->headVersion());
    if (request.head_version() < this->headVersion()) {
        // The outcomes of tickets are left out: only processes that accept tickets need them, and
        // they read the head themselves.
        *reply.mutable_head() = this->currentHead;
        reply.mutable_head()->clear_recent();
    }
    if (request.instance_revision() < this->instanceList->revision())
        *reply.mutable_instances() =
            this->instanceHistory.updateSince(request.instance_revision(), *this->instanceList);
    for (const auto &[region, placement] : this->placements) {
        const auto known = request.wish_versions().find(region);
        if (known == request.wish_versions().end() || known->second < placement.version())
            *reply.add_wishes() = placement;
    }
    const auto age = toMs(now - this->platformContactAt);
    reply.set_platform_age_ms(static_cast<uint32_t>(std::clamp<int64_t>(age, 0, 1000000000)));
    reply.set_platform_out(this->isPlatformUnreachable(now));
    if (!request.has_in_force())
        return reply;
    const auto &id = request.instance();
    this->children[id] = {request.in_force(), now, request.relay()};
    this->noteHeadVersion(request.head_version());
    for (const auto &status : request.statuses())
        this->applyStatus(status, StatusTable::StatusSource::Child, id, now);
    this->correctOwnStatus(now);
    for (const auto &demand : request.demand())
        this->demandAggregator.addFromBelow(demand);
    for (const auto &suspect : request.suspects())
        this->suspectTable.merge(suspect, now);
    const bool knowsChangeLog = request.journal() == this->changeLogId;
    reply.set_journal(this->changeLogId);
    reply.set_cursor(this->statusTable.position());
    // A child that restarted does not have its own earlier statuses either.
    for (const auto &status : this->statusTable.changedAfter(knowsChangeLog ? request.cursor() : 0,
                                                             knowsChangeLog ? id : std::string()))
        *reply.add_statuses() = *status;
    for (auto &suspect : this->suspectTable.recentChanges(now, !knowsChangeLog))
        *reply.add_suspects() = std::move(suspect);
    *reply.mutable_whole() = this->systemInForce(now);
    if (request.relay()) {
        for (auto &demand : this->demandAggregator.takeForRelay(id))
            *reply.add_demand() = std::move(demand);
    }
    return reply;
}

bool NodeState::applyReply(const Poll &poll, const proto::SyncReply &reply, Instant now)
{
    this->applyCommonFields(reply, poll.sentAt);
    this->failedParents.erase(poll.parent);
    this->parentContactAt = std::max(this->parentContactAt, poll.sentAt);
    this->parentReportsPlatformUnreachable = reply.platform_out();
    this->parentSystemInForce = reply.whole();
    for (const auto &status : reply.statuses())
        this->applyStatus(status, StatusTable::StatusSource::Parent, "", now);
    this->correctOwnStatus(now);
    for (const auto &suspect : reply.suspects())
        this->suspectTable.merge(suspect, now);
    this->distributeDemand(reply.demand());
    if (this->parent.id != poll.parent)
        return false;
    const bool restarted = poll.request.journal() != 0 && reply.journal() != poll.request.journal();
    this->parent.changeLogId = reply.journal();
    this->parent.parentPosition = reply.cursor();
    this->parent.ownAckedPosition = restarted ? 0 : poll.position;
    return restarted;
}

void NodeState::applyPeerReply(const std::string &peer, const proto::SyncReply &reply,
                               Instant sentAt, Instant now)
{
    this->applyCommonFields(reply, sentAt);
    this->peerContact[peer] = {now, milliseconds(reply.platform_age_ms()) < PlatformContactTimeout};
}

void NodeState::applyCommonFields(const proto::SyncReply &reply, Instant sentAt)
{
    this->noteHeadVersion(reply.head_version());
    if (reply.has_head())
        this->offerHead(reply.head());
    if (reply.has_instances()) {
        if (const auto list = applyInstanceUpdate(*this->instanceList, reply.instances()))
            this->setInstances(*list);
    }
    for (const auto &placement : reply.wishes())
        this->setRequestedPlacement(placement);
    // Counted from the time before the request was sent, so that the age is never underestimated.
    this->notePlatformContact(sentAt - milliseconds(reply.platform_age_ms()));
}

void NodeState::actAsRoot(Instant now)
{
    this->parent = {};
    if (!this->orphanTimerStart)
        this->orphanTimerStart = now;
    google::protobuf::RepeatedPtrField<proto::Demand> all;
    for (auto &demand : this->demandAggregator.takeForParent())
        *all.Add() = std::move(demand);
    this->distributeDemand(all);
}

void NodeState::distributeDemand(const google::protobuf::RepeatedPtrField<proto::Demand> &demand)
{
    std::vector<std::string> relays;
    for (const auto &[id, child] : this->children) {
        if (child.relay)
            relays.push_back(id);
    }
    for (const auto &row : demand)
        this->demandAggregator.distribute(row, relays);
}

void NodeState::applyStatus(const proto::UpstreamStatus &status, StatusTable::StatusSource source,
                            const std::string &origin, Instant now)
{
    if (this->isMarkContradicted(status, origin, now))
        this->statusTable.overrideLostMark(status);
    else if (!this->statusTable.apply(status, source, origin))
        return;
    this->statusView.reset();
}

bool NodeState::isMarkContradicted(const proto::UpstreamStatus &mark, const std::string &origin,
                                   Instant now) const
{
    if (!mark.lost())
        return false;
    const auto known = this->statusTable.find(mark.upstream());
    if (!known || known->lost() || known->epoch() != mark.epoch() ||
        known->sequence() != mark.sequence() || known->liveness() >= mark.liveness())
        return false;
    const auto reportingChild = this->statusTable.reportingChild(mark.upstream());
    const auto child = this->children.find(reportingChild);
    return reportingChild != origin && child != this->children.end() &&
           now - child->second.lastContactAt <= ChildReportLifetime;
}

NodeState::UnconfirmedStatuses NodeState::takeUnconfirmed(Instant now)
{
    UnconfirmedStatuses unconfirmed;
    std::vector<std::string> timedOut;
    for (const auto &[id, child] : this->children) {
        if (now - child.lastContactAt < ChildTimeout)
            continue;
        const auto released = this->statusTable.releaseChild(id);
        unconfirmed.individual.insert(unconfirmed.individual.end(), released.begin(),
                                      released.end());
        timedOut.push_back(id);
    }
    for (const auto &id : timedOut) {
        this->children.erase(id);
        this->demandAggregator.forget(id);
    }
    std::erase_if(this->failedParents, [&](const auto &failed) {
        if (now - failed.second < ChildTimeout)
            return false;
        for (const auto &status : this->statusTable.all()) {
            if (status->instance() == failed.first && !status->lost())
                unconfirmed.individual.push_back(status);
        }
        return true;
    });
    // By now, live processes have found a path to this root and have reported their status again.
    if (this->orphanTimerStart && now - *this->orphanTimerStart >= ChildTimeout) {
        this->orphanTimerStart = now;
        for (const auto &status : this->statusTable.receivedFromParent())
            unconfirmed.orphans[status->data_centre()].push_back(status);
    }
    return unconfirmed;
}

void NodeState::markLost(const StatusTable::Status &seen, Instant now)
{
    if (this->statusTable.markLost(seen))
        this->statusView.reset();
    this->correctOwnStatus(now);
}

void NodeState::forgetLost(Instant now)
{
    std::map<std::string, Instant> stillLost;
    for (const auto &status : this->statusTable.all()) {
        if (!status->lost())
            continue;
        const auto &list = this->instanceList->instances();
        const bool listed = std::any_of(list.begin(), list.end(), [&](const auto &instance) {
            return instance.id() == status->instance();
        });
        const auto known = this->unlistedSince.find(status->upstream());
        if (!listed)
            stillLost[status->upstream()] =
                known == this->unlistedSince.end() ? now : known->second;
    }
    this->unlistedSince = std::move(stillLost);
    const auto removed = this->statusTable.prune([&](const proto::UpstreamStatus &status) {
        const auto found = this->unlistedSince.find(status.upstream());
        return found == this->unlistedSince.end() || now - found->second < LostUpstreamLifetime;
    });
    if (removed > 0)
        this->statusView.reset();
}

void NodeState::offerHead(const proto::Head &offered)
{
    this->noteHeadVersion(offered.version());
    const uint64_t known = this->pendingHead ? this->pendingHead->version() : this->headVersion();
    if (offered.version() <= known)
        return;
    this->pendingHead = offered;
    this->commitIfComplete();
}

std::vector<uint64_t> NodeState::missingDigests() const
{
    return this->pendingHead ? missingSections(*this->pendingHead, this->sectionBytes)
                             : std::vector<uint64_t>{};
}

bool NodeState::addSections(const std::vector<std::string> &sections)
{
    if (!this->pendingHead)
        return false;
    const auto wanted = this->missingDigests();
    for (const auto &bytes : sections) {
        const uint64_t digest = sectionDigest(bytes);
        if (std::find(wanted.begin(), wanted.end(), digest) != wanted.end())
            this->sectionBytes[digest] = bytes;
    }
    return this->commitIfComplete();
}

bool NodeState::commitIfComplete()
{
    if (!this->pendingHead || !this->missingDigests().empty())
        return false;
    const auto objects = readObjects(*this->pendingHead, this->sectionBytes);
    if (!isOk(objects)) {
        this->pendingHead.reset();
        return false;
    }
    this->currentCatalogue =
        std::make_shared<const Catalogue>(this->pendingHead->version(), value(objects));
    this->currentHead = std::move(*this->pendingHead);
    this->pendingHead.reset();
    const std::set<uint64_t> used(this->currentHead.section_digests().begin(),
                                  this->currentHead.section_digests().end());
    std::erase_if(this->sectionBytes,
                  [&](const auto &section) { return !used.contains(section.first); });
    return true;
}

std::vector<std::string> NodeState::sections(const proto::SectionsRequest &request) const
{
    std::vector<std::string> found;
    for (const uint64_t digest : request.digests()) {
        const auto section = this->sectionBytes.find(digest);
        if (section != this->sectionBytes.end())
            found.push_back(section->second);
    }
    return found;
}

void NodeState::notePlatformContact(Instant at)
{
    this->platformContactAt = std::max(this->platformContactAt, at);
}

void NodeState::setInstances(const proto::InstanceList &list)
{
    if (list.revision() <= this->instanceList->revision())
        return;
    this->instanceHistory.recordChange(*this->instanceList, list);
    this->instanceList = std::make_shared<const proto::InstanceList>(list);
    this->relayTree = RelayTree(list, this->self);
}

void NodeState::setRequestedPlacement(const proto::Wish &placement)
{
    auto &known = this->placements[placement.region()];
    if (placement.version() > known.version())
        known = placement;
}

bool NodeState::isFresh(Instant now) const
{
    if (now - this->platformContactAt <= this->maxContactAge)
        return true;
    // While no process reaches the platform, no ticket can be accepted. Tickets that were accepted
    // before must be in force in this process.
    return this->isPlatformUnreachable(now) && this->headVersion() >= this->highestVersion;
}

bool NodeState::isPlatformUnreachable(Instant now) const
{
    if (now - this->platformContactAt <= PlatformContactTimeout)
        return false;
    if (this->parentReportsPlatformUnreachable &&
        now - this->parentContactAt <= this->maxContactAge)
        return true;
    // A relay assumes an outage once another relay has reported that it has no contact either.
    bool outageReported = false;
    for (const auto &[peer, contact] : this->peerContact) {
        if (now - contact.first > this->maxContactAge)
            continue;
        if (contact.second)
            return false;
        outageReported = true;
    }
    return outageReported;
}

void NodeState::setOwnStatus(proto::UpstreamStatus status, Instant now)
{
    this->ownStatus = std::move(status);
    this->applyStatus(this->ownStatus, StatusTable::StatusSource::Own, "", now);
    this->correctOwnStatus(now);
}

void NodeState::correctOwnStatus(Instant now)
{
    // An agent whose engine does not answer marks its upstream as lost itself.
    if (this->ownStatus.upstream().empty() || this->ownStatus.lost())
        return;
    const auto known = this->statusTable.find(this->ownStatus.upstream());
    // A higher epoch or sequence comes from a successor and is not overridden.
    if (!known || !known->lost() || known->epoch() != this->ownStatus.epoch() ||
        known->sequence() != this->ownStatus.sequence())
        return;
    this->ownStatus.set_liveness(known->liveness() + 1);
    this->applyStatus(this->ownStatus, StatusTable::StatusSource::Own, "", now);
}

void NodeState::setSelf(const proto::InstanceEntry &entry)
{
    this->self = entry;
    this->relayTree = RelayTree(*this->instanceList, this->self);
}

std::shared_ptr<const UpstreamStatuses> NodeState::statuses() const
{
    if (!this->statusView)
        this->statusView = std::make_shared<const UpstreamStatuses>(this->statusTable.all());
    return this->statusView;
}

proto::InForce NodeState::subtreeInForce(Instant now) const
{
    proto::InForce sum;
    sum.set_processes(1);
    sum.set_lowest_head(this->headVersion());
    if (this->headVersion() < this->highestVersion)
        sum.add_lagging(this->identity.instance);
    for (const auto &[id, child] : this->children) {
        if (now - child.lastContactAt > ChildReportLifetime)
            continue;
        sum.set_processes(sum.processes() + child.inForce.processes());
        sum.set_lowest_head(std::min(sum.lowest_head(), child.inForce.lowest_head()));
        for (const auto &name : child.inForce.lagging()) {
            if (sum.lagging_size() < MaxLagging)
                sum.add_lagging(name);
        }
    }
    return sum;
}

proto::InForce NodeState::systemInForce(Instant now) const
{
    return this->hasParent() ? this->parentSystemInForce : this->subtreeInForce(now);
}

} // namespace tray
