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

proto::SyncRequest NodeState::makeRequest(const std::string &parentId, Instant now)
{
    if (this->parent.id != parentId) {
        this->parent = {};
        this->parent.id = parentId;
    }
    auto request = this->makeQuery();
    request.set_instance(this->identity.instance);
    request.set_relay(this->relayTree.isRelay());
    request.set_journal(this->parent.journal);
    request.set_cursor(this->parent.cursor);
    *request.mutable_in_force() = this->aggregate(now);
    this->parent.sending = this->table.position();
    for (const auto &status : this->table.changedAfter(this->parent.sentUp, parentId))
        *request.add_statuses() = *status;
    for (auto &demand : this->demandFlow.takeUp())
        *request.add_demand() = std::move(demand);
    for (auto &suspect : this->suspectTable.changed(now, this->parent.journal == 0))
        *request.add_suspects() = std::move(suspect);
    return request;
}

void NodeState::undoRequest(const proto::SyncRequest &request)
{
    for (const auto &demand : request.demand())
        this->demandFlow.addUp(demand);
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
        *reply.mutable_instances() = *this->instanceList;
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
    for (const auto &status : request.statuses()) {
        if (this->table.apply(status, id))
            this->touchStatuses();
    }
    this->cureOwn();
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

bool NodeState::applyReply(const std::string &parentId, const proto::SyncRequest &request,
                           const proto::SyncReply &reply, Instant sentAt, Instant now)
{
    this->applyShared(reply, sentAt);
    this->failedParents.erase(parentId);
    this->heardParent = std::max(this->heardParent, sentAt);
    this->parentSaysOut = reply.platform_out();
    this->wholeFromParent = reply.whole();
    for (const auto &status : reply.statuses()) {
        if (this->table.apply(status, parentId))
            this->touchStatuses();
    }
    this->cureOwn();
    for (const auto &suspect : reply.suspects())
        this->suspectTable.merge(suspect, now);
    std::vector<std::string> relays;
    for (const auto &[id, child] : this->children) {
        if (child.relay)
            relays.push_back(id);
    }
    for (const auto &demand : reply.demand())
        this->demandFlow.shareOut(demand, relays);
    if (this->parent.id != parentId)
        return false;
    const bool restarted = request.journal() != 0 && reply.journal() != request.journal();
    this->parent.journal = reply.journal();
    this->parent.cursor = reply.cursor();
    // A restarted parent has forgotten what it was told before this request.
    this->parent.sentUp = restarted ? 0 : this->parent.sending;
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
    if (reply.has_instances())
        this->setInstances(reply.instances());
    for (const auto &wish : reply.wishes())
        this->setWish(wish);
    // Counted from before the request was sent, so that the age is never too young.
    this->platformHeard(sentAt - milliseconds(reply.platform_age_ms()));
}

void NodeState::parentFailed(const std::string &parentId, Instant now)
{
    this->failedParents.try_emplace(parentId, now);
    if (this->parent.id == parentId)
        this->parent = {};
}

void NodeState::actAsRoot(Instant)
{
    this->parent = {};
    std::vector<std::string> relays;
    for (const auto &[id, child] : this->children) {
        if (child.relay)
            relays.push_back(id);
    }
    for (const auto &demand : this->demandFlow.takeUp())
        this->demandFlow.shareOut(demand, relays);
}

std::vector<StatusTable::Status> NodeState::takeSilent(Instant now)
{
    std::vector<StatusTable::Status> silent;
    std::vector<std::string> gone;
    for (const auto &[id, child] : this->children) {
        if (now - child.heardAt < ChildSilence)
            continue;
        const auto heard = this->table.heardFrom(id);
        silent.insert(silent.end(), heard.begin(), heard.end());
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
                silent.push_back(status);
        }
        return true;
    });
    return silent;
}

void NodeState::markLost(const StatusTable::Status &seen)
{
    if (this->table.markLost(seen))
        this->touchStatuses();
    this->cureOwn();
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

void NodeState::setOwnStatus(proto::UpstreamStatus status)
{
    this->ownStatus = std::move(status);
    if (this->table.apply(this->ownStatus, ""))
        this->touchStatuses();
    this->cureOwn();
}

void NodeState::cureOwn()
{
    if (this->ownStatus.upstream().empty())
        return;
    const auto present = this->table.find(this->ownStatus.upstream());
    // A higher epoch or sequence is a successor's word and stands.
    if (!present || !present->lost() || present->epoch() != this->ownStatus.epoch() ||
        present->sequence() != this->ownStatus.sequence())
        return;
    this->ownStatus.set_liveness(present->liveness() + 1);
    if (this->table.apply(this->ownStatus, ""))
        this->touchStatuses();
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
