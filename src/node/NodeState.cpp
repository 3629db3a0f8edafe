// Rules of the exchange between neighbours in the relay tree.
#include "node/NodeState.h"

#include <algorithm>
#include <set>

namespace tray {

namespace {

// Names of processes behind the highest head that travel up the tree.
constexpr int MaxLagging = 8;

} // namespace

NodeState::NodeState(NodeIdentity identity, uint64_t journal, Duration staleAfter)
    : identity(std::move(identity)), journal(journal), staleAfter(staleAfter),
      instanceList(std::make_shared<const proto::InstanceList>())
{
    this->self.set_id(this->identity.instance);
    this->self.set_data_centre(this->identity.dataCentre);
    this->self.set_region(this->identity.region);
    this->relayTree = RelayTree(*this->instanceList, this->self);
}

NodeState::Poll NodeState::makePoll(const std::string &parentId, Instant now)
{
    this->rootSince.reset();
    if (this->parent.id != parentId) {
        this->parent = {};
        this->parent.id = parentId;
    }
    Poll poll{parentId, this->makeQuery(), this->table.position(), now};
    auto &request = poll.request;
    request.set_instance(this->identity.instance);
    request.set_relay(this->relayTree.isRelay());
    request.set_journal(this->parent.journal);
    request.set_cursor(this->parent.cursor);
    *request.mutable_in_force() = this->aggregate(now);
    for (const auto &status : this->table.changedInSubtree(this->parent.sentUp))
        *request.add_statuses() = *status;
    for (auto &demand : this->demandFlow.takeUp())
        *request.add_demand() = std::move(demand);
    for (auto &suspect : this->suspectTable.changed(now, this->parent.journal == 0))
        *request.add_suspects() = std::move(suspect);
    return poll;
}

void NodeState::pollFailed(const Poll &poll, Instant now)
{
    for (const auto &demand : poll.request.demand())
        this->demandFlow.addUp(demand);
    this->failedParents.try_emplace(poll.parent, now);
    if (this->parent.id == poll.parent)
        this->parent = {};
}

proto::SyncRequest NodeState::makeQuery() const
{
    proto::SyncRequest request;
    request.set_head_version(this->headVersion());
    request.set_instance_revision(this->instanceList->revision());
    for (const auto &[region, wish] : this->wishTable)
        (*request.mutable_wish_versions())[region] = wish.version();
    return request;
}

proto::SyncReply NodeState::answer(const proto::SyncRequest &request, Instant now)
{
    proto::SyncReply reply;
    reply.set_head_version(this->headVersion());
    if (request.head_version() < this->headVersion()) {
        // Only those who accept tickets need the outcomes, and they read the head themselves.
        *reply.mutable_head() = this->head;
        reply.mutable_head()->clear_recent();
    }
    if (request.instance_revision() < this->instanceList->revision())
        *reply.mutable_instances() =
            this->instanceHistory.updateSince(request.instance_revision(), *this->instanceList);
    for (const auto &[region, wish] : this->wishTable) {
        const auto known = request.wish_versions().find(region);
        if (known == request.wish_versions().end() || known->second < wish.version())
            *reply.add_wishes() = wish;
    }
    const auto age = toMs(now - this->heardPlatform);
    reply.set_platform_age_ms(static_cast<uint32_t>(std::clamp<int64_t>(age, 0, 1000000000)));
    reply.set_platform_out(this->isPlatformOut(now));
    if (!request.has_in_force())
        return reply;
    const auto &id = request.instance();
    this->children[id] = {request.in_force(), now, request.relay()};
    this->noteHead(request.head_version());
    for (const auto &status : request.statuses())
        this->takeStatus(status, StatusTable::StatusSource::Child, id, now);
    this->cureOwn(now);
    for (const auto &demand : request.demand())
        this->demandFlow.addUp(demand);
    for (const auto &suspect : request.suspects())
        this->suspectTable.merge(suspect, now);
    const bool known = request.journal() == this->journal;
    reply.set_journal(this->journal);
    reply.set_cursor(this->table.position());
    // A child that starts afresh does not know its own earlier words either.
    for (const auto &status :
         this->table.changedAfter(known ? request.cursor() : 0, known ? id : std::string()))
        *reply.add_statuses() = *status;
    for (auto &suspect : this->suspectTable.changed(now, !known))
        *reply.add_suspects() = std::move(suspect);
    *reply.mutable_whole() = this->whole(now);
    if (request.relay()) {
        for (auto &demand : this->demandFlow.takeFor(id))
            *reply.add_demand() = std::move(demand);
    }
    return reply;
}

bool NodeState::applyReply(const Poll &poll, const proto::SyncReply &reply, Instant now)
{
    this->applyShared(reply, poll.sentAt);
    this->failedParents.erase(poll.parent);
    this->heardParent = std::max(this->heardParent, poll.sentAt);
    this->parentSaysOut = reply.platform_out();
    this->wholeFromParent = reply.whole();
    for (const auto &status : reply.statuses())
        this->takeStatus(status, StatusTable::StatusSource::Parent, "", now);
    this->cureOwn(now);
    for (const auto &suspect : reply.suspects())
        this->suspectTable.merge(suspect, now);
    this->shareOut(reply.demand());
    if (this->parent.id != poll.parent)
        return false;
    const bool restarted = poll.request.journal() != 0 && reply.journal() != poll.request.journal();
    this->parent.journal = reply.journal();
    this->parent.cursor = reply.cursor();
    this->parent.sentUp = restarted ? 0 : poll.position;
    return restarted;
}

void NodeState::applyPeer(const std::string &peer, const proto::SyncReply &reply, Instant sentAt,
                          Instant now)
{
    this->applyShared(reply, sentAt);
    this->peerContact[peer] = {now, milliseconds(reply.platform_age_ms()) < PlatformQuiet};
}

void NodeState::applyShared(const proto::SyncReply &reply, Instant sentAt)
{
    this->noteHead(reply.head_version());
    if (reply.has_head())
        this->offerHead(reply.head());
    if (reply.has_instances()) {
        if (const auto list = applyInstanceUpdate(*this->instanceList, reply.instances()))
            this->setInstances(*list);
    }
    for (const auto &wish : reply.wishes())
        this->setWish(wish);
    // Counted from before the request was sent, so that the age is never too young.
    this->platformHeard(sentAt - milliseconds(reply.platform_age_ms()));
}

void NodeState::actAsRoot(Instant now)
{
    this->parent = {};
    if (!this->rootSince)
        this->rootSince = now;
    google::protobuf::RepeatedPtrField<proto::Demand> all;
    for (auto &demand : this->demandFlow.takeUp())
        *all.Add() = std::move(demand);
    this->shareOut(all);
}

void NodeState::shareOut(const google::protobuf::RepeatedPtrField<proto::Demand> &demand)
{
    std::vector<std::string> relays;
    for (const auto &[id, child] : this->children) {
        if (child.relay)
            relays.push_back(id);
    }
    for (const auto &row : demand)
        this->demandFlow.shareOut(row, relays);
}

void NodeState::takeStatus(const proto::UpstreamStatus &status, StatusTable::StatusSource side,
                           const std::string &origin, Instant now)
{
    if (this->isRefuted(status, origin, now))
        this->table.overrideLostMark(status);
    else if (!this->table.apply(status, side, origin))
        return;
    this->statusView.reset();
}

bool NodeState::isRefuted(const proto::UpstreamStatus &mark, const std::string &origin,
                          Instant now) const
{
    if (!mark.lost())
        return false;
    const auto present = this->table.find(mark.upstream());
    if (!present || present->lost() || present->epoch() != mark.epoch() ||
        present->sequence() != mark.sequence() || present->liveness() >= mark.liveness())
        return false;
    const auto voucher = this->table.reportingChild(mark.upstream());
    const auto child = this->children.find(voucher);
    return voucher != origin && child != this->children.end() &&
           now - child->second.heardAt <= ChildCounted;
}

NodeState::Silent NodeState::takeSilent(Instant now)
{
    Silent silent;
    std::vector<std::string> gone;
    for (const auto &[id, child] : this->children) {
        if (now - child.heardAt < ChildSilence)
            continue;
        const auto released = this->table.releaseChild(id);
        silent.single.insert(silent.single.end(), released.begin(), released.end());
        gone.push_back(id);
    }
    for (const auto &id : gone) {
        this->children.erase(id);
        this->demandFlow.forget(id);
    }
    std::erase_if(this->failedParents, [&](const auto &failed) {
        if (now - failed.second < ChildSilence)
            return false;
        for (const auto &status : this->table.all()) {
            if (status->instance() == failed.first && !status->lost())
                silent.single.push_back(status);
        }
        return true;
    });
    // By now, processes that are alive have found a way to this root and vouch for themselves.
    if (this->rootSince && now - *this->rootSince >= ChildSilence) {
        this->rootSince = now;
        for (const auto &status : this->table.receivedFromParent())
            silent.orphans[status->data_centre()].push_back(status);
    }
    return silent;
}

void NodeState::markLost(const StatusTable::Status &seen, Instant now)
{
    if (this->table.markLost(seen))
        this->statusView.reset();
    this->cureOwn(now);
}

void NodeState::forgetGone(Instant now)
{
    std::map<std::string, Instant> still;
    for (const auto &status : this->table.all()) {
        if (!status->lost())
            continue;
        const auto &list = this->instanceList->instances();
        const bool listed = std::any_of(list.begin(), list.end(), [&](const auto &instance) {
            return instance.id() == status->instance();
        });
        const auto known = this->gone.find(status->upstream());
        if (!listed)
            still[status->upstream()] = known == this->gone.end() ? now : known->second;
    }
    this->gone = std::move(still);
    const auto removed = this->table.prune([&](const proto::UpstreamStatus &status) {
        const auto found = this->gone.find(status.upstream());
        return found == this->gone.end() || now - found->second < GoneKept;
    });
    if (removed > 0)
        this->statusView.reset();
}

void NodeState::offerHead(const proto::Head &offered)
{
    this->noteHead(offered.version());
    const uint64_t known = this->pending ? this->pending->version() : this->headVersion();
    if (offered.version() <= known)
        return;
    this->pending = offered;
    this->commitIfComplete();
}

std::vector<uint64_t> NodeState::missing() const
{
    return this->pending ? missingSections(*this->pending, this->sectionBytes)
                         : std::vector<uint64_t>{};
}

bool NodeState::addSections(const std::vector<std::string> &sections)
{
    if (!this->pending)
        return false;
    const auto wanted = this->missing();
    for (const auto &bytes : sections) {
        const uint64_t digest = sectionDigest(bytes);
        if (std::find(wanted.begin(), wanted.end(), digest) != wanted.end())
            this->sectionBytes[digest] = bytes;
    }
    return this->commitIfComplete();
}

bool NodeState::commitIfComplete()
{
    if (!this->pending || !this->missing().empty())
        return false;
    const auto objects = readObjects(*this->pending, this->sectionBytes);
    if (!isOk(objects)) {
        this->pending.reset();
        return false;
    }
    this->snapshot = std::make_shared<const Catalogue>(this->pending->version(), value(objects));
    this->head = std::move(*this->pending);
    this->pending.reset();
    const std::set<uint64_t> used(this->head.section_digests().begin(),
                                  this->head.section_digests().end());
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

void NodeState::platformHeard(Instant at)
{
    this->heardPlatform = std::max(this->heardPlatform, at);
}

void NodeState::setInstances(const proto::InstanceList &list)
{
    if (list.revision() <= this->instanceList->revision())
        return;
    this->instanceHistory.recordChange(*this->instanceList, list);
    this->instanceList = std::make_shared<const proto::InstanceList>(list);
    this->relayTree = RelayTree(list, this->self);
}

void NodeState::setWish(const proto::Wish &wish)
{
    auto &known = this->wishTable[wish.region()];
    if (wish.version() > known.version())
        known = wish;
}

bool NodeState::isFresh(Instant now) const
{
    if (now - this->heardPlatform <= this->staleAfter)
        return true;
    // While the platform is out for all, no ticket can be accepted; what was accepted before must
    // have arrived.
    return this->isPlatformOut(now) && this->headVersion() >= this->highest;
}

bool NodeState::isPlatformOut(Instant now) const
{
    if (now - this->heardPlatform <= PlatformQuiet)
        return false;
    if (this->parentSaysOut && now - this->heardParent <= this->staleAfter)
        return true;
    // A relay believes in an outage once another relay has told that it has no contact either.
    bool told = false;
    for (const auto &[peer, contact] : this->peerContact) {
        if (now - contact.first > this->staleAfter)
            continue;
        if (contact.second)
            return false;
        told = true;
    }
    return told;
}

void NodeState::setOwnStatus(proto::UpstreamStatus status, Instant now)
{
    this->ownStatus = std::move(status);
    this->takeStatus(this->ownStatus, StatusTable::StatusSource::Own, "", now);
    this->cureOwn(now);
}

void NodeState::cureOwn(Instant now)
{
    // An agent whose engine does not answer says itself that its upstream is lost.
    if (this->ownStatus.upstream().empty() || this->ownStatus.lost())
        return;
    const auto present = this->table.find(this->ownStatus.upstream());
    // A higher epoch or sequence is a successor's word and stands.
    if (!present || !present->lost() || present->epoch() != this->ownStatus.epoch() ||
        present->sequence() != this->ownStatus.sequence())
        return;
    this->ownStatus.set_liveness(present->liveness() + 1);
    this->takeStatus(this->ownStatus, StatusTable::StatusSource::Own, "", now);
}

void NodeState::setSelf(const proto::InstanceEntry &entry)
{
    this->self = entry;
    this->relayTree = RelayTree(*this->instanceList, this->self);
}

std::shared_ptr<const UpstreamStatuses> NodeState::statuses() const
{
    if (!this->statusView)
        this->statusView = std::make_shared<const UpstreamStatuses>(this->table.all());
    return this->statusView;
}

proto::InForce NodeState::aggregate(Instant now) const
{
    proto::InForce sum;
    sum.set_processes(1);
    sum.set_lowest_head(this->headVersion());
    if (this->headVersion() < this->highest)
        sum.add_lagging(this->identity.instance);
    for (const auto &[id, child] : this->children) {
        if (now - child.heardAt > ChildCounted)
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

proto::InForce NodeState::whole(Instant now) const
{
    return this->hasParent() ? this->wholeFromParent : this->aggregate(now);
}

} // namespace tray
