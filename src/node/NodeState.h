// State that a control node shares with its neighbours, and the rules by which it changes. Pure: it
// knows neither sockets nor clocks.
#pragma once

#include "base/Time.h"
#include "catalogue/Catalogue.h"
#include "catalogue/Sections.h"
#include "membership/InstanceHistory.h"
#include "membership/RelayTree.h"
#include "membership/StatusTable.h"
#include "node/ControlNode.h"
#include "node/DemandFlow.h"
#include "routing/SuspectTable.h"

#include "control.pb.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Configuration, instances, statuses, wishes, suspects, demand and freshness of one process.
/// Not thread-safe.
class NodeState
{
public:
    /// A child that has not polled for this long is checked, and its upstream marked as lost.
    static constexpr Duration ChildSilence = std::chrono::seconds(5);
    /// A child that has not polled for this long is not counted in the head in force.
    static constexpr Duration ChildCounted = std::chrono::seconds(3);
    /// Time after which a lost upstream of an unlisted instance is forgotten.
    static constexpr Duration GoneKept = std::chrono::seconds(60);
    /// Longer silence of the platform than a relay sees in health: it reads the list every second.
    static constexpr Duration PlatformQuiet = milliseconds(1200);

    /// The journal is a random number that tells this process's positions from those of an earlier
    /// one with the same id.
    NodeState(NodeIdentity identity, uint64_t journal, Duration staleAfter);

    // Exchange with neighbours.

    /// Request to a parent, and what is known here when it is sent.
    struct Poll
    {
        std::string parent;
        proto::SyncRequest request;
        /// Position in the own status table that the request covers.
        uint64_t position = 0;
        Instant sentAt{};
    };

    /// Request for the parent. Takes the demand out; pollFailed() puts it back.
    Poll makePoll(const std::string &parent, Instant now);
    /// The parent did not answer.
    void pollFailed(const Poll &poll, Instant now);
    /// Request that only asks for head, instances, wishes and contact with the platform.
    proto::SyncRequest makeQuery() const;
    /// Answer for a child, or for a query.
    proto::SyncReply answer(const proto::SyncRequest &request, Instant now);
    /// Takes a parent's reply over. Returns true if the parent has to be asked again at once,
    /// because it has started afresh and knows nothing of what it was told before.
    bool applyReply(const Poll &poll, const proto::SyncReply &reply, Instant now);
    /// Takes the reply to a query of another relay over.
    void applyPeer(const std::string &peer, const proto::SyncReply &reply, Instant sentAt,
                   Instant now);
    /// The process has no parent that answers: demand is shared out from here.
    void actAsRoot(Instant now);
    /// Statuses that nobody vouches for any more, for a direct check.
    struct Silent
    {
        /// Heard from children or about parents that have gone silent.
        std::vector<StatusTable::Status> single;
        /// Heard from a parent before this process became a root, by data centre: a cut link makes
        /// all of a data centre unreachable at once.
        std::map<std::string, std::vector<StatusTable::Status>> orphans;
    };
    /// Each status is returned once; orphans again after a while if they stay.
    Silent takeSilent(Instant now);
    void markLost(const StatusTable::Status &seen, Instant now);
    /// Forgets upstreams that are lost and whose instance has been off the list for a while. The
    /// delay is longer than any neighbour takes to hear of the loss, so they do not come back.
    void forgetGone(Instant now);

    // Configuration.

    /// Offers a head; older ones than the present and the pending head are ignored.
    void offerHead(const proto::Head &head);
    /// Digests that are missing before the pending head can be in force.
    std::vector<uint64_t> missing() const;
    /// Takes a section over that matches its digest, and puts the pending head in force once it is
    /// complete. Returns true if the configuration in force changed.
    bool addSections(const std::vector<std::string> &sections);
    std::vector<std::string> sections(const proto::SectionsRequest &request) const;
    std::shared_ptr<const Catalogue> catalogue() const { return this->snapshot; }
    uint64_t headVersion() const { return this->snapshot->headVersion(); }
    uint64_t highestHead() const { return this->highest; }
    void noteHead(uint64_t seen) { this->highest = std::max(this->highest, seen); }

    // Platform and freshness.

    void platformHeard(Instant at);
    void setInstances(const proto::InstanceList &list);
    void setWish(const proto::Wish &wish);
    bool isFresh(Instant now) const;
    bool isPlatformOut(Instant now) const;
    Instant platformHeardAt() const { return this->heardPlatform; }

    // Own contributions and views.

    void setOwnStatus(proto::UpstreamStatus status, Instant now);
    void setSelf(const proto::InstanceEntry &entry);
    const RelayTree &tree() const { return this->relayTree; }
    std::shared_ptr<const UpstreamStatuses> statuses() const;
    std::shared_ptr<const proto::InstanceList> instances() const { return this->instanceList; }
    const std::map<std::string, proto::Wish> &wishes() const { return this->wishTable; }
    proto::InForce whole(Instant now) const;
    DemandFlow &demand() { return this->demandFlow; }
    /// Control addresses of the parent and of the children that polled recently, without the given
    /// instance.
    std::vector<std::string> neighbours(const std::string &without, Instant now) const;
    SuspectTable &suspects() { return this->suspectTable; }
    const SuspectTable &suspects() const { return this->suspectTable; }

private:
    struct Child
    {
        proto::InForce inForce;
        Instant heardAt{};
        bool relay = false;
    };
    struct Parent
    {
        std::string id;
        uint64_t journal = 0;
        // Position in the parent's journal up to which its changes are known here.
        uint64_t cursor = 0;
        // Position in the own table up to which the parent knows the changes.
        uint64_t sentUp = 0;
    };

    bool commitIfComplete();
    void applyShared(const proto::SyncReply &reply, Instant sentAt);
    void cureOwn(Instant now);
    void takeStatus(const proto::UpstreamStatus &status, StatusTable::StatusSource side,
                    const std::string &origin, Instant now);
    /// Another child that polled lately vouches for an upstream that a neighbour marked as lost.
    bool isRefuted(const proto::UpstreamStatus &mark, const std::string &origin, Instant now) const;
    void shareOut(const google::protobuf::RepeatedPtrField<proto::Demand> &demand);
    proto::InForce aggregate(Instant now) const;
    bool hasParent() const { return !this->parent.id.empty(); }

    const NodeIdentity identity;
    const uint64_t journal;
    const Duration staleAfter;

    std::shared_ptr<const Catalogue> snapshot = std::make_shared<const Catalogue>();
    proto::Head head;
    std::optional<proto::Head> pending;
    // Sections of the present and the pending head.
    SectionBytes sectionBytes;
    uint64_t highest = 0;

    proto::InstanceEntry self;
    std::shared_ptr<const proto::InstanceList> instanceList;
    InstanceHistory instanceHistory;
    RelayTree relayTree;
    StatusTable table;
    mutable std::shared_ptr<const UpstreamStatuses> statusView;
    proto::UpstreamStatus ownStatus;
    std::map<std::string, proto::Wish> wishTable;
    SuspectTable suspectTable;
    DemandFlow demandFlow;

    std::map<std::string, Child> children;
    Parent parent;
    // Parents that stopped to answer, and when they were heard last.
    std::map<std::string, Instant> failedParents;
    proto::InForce wholeFromParent;
    // Lost upstreams of unlisted instances, and when they were first seen so.
    std::map<std::string, Instant> gone;
    // When this process last began to be without a parent; nothing while it has one.
    std::optional<Instant> rootSince;

    Instant heardPlatform{};
    Instant heardParent{};
    bool parentSaysOut = false;
    // Answers of other relays to queries: when, and whether they had contact with the platform.
    std::map<std::string, std::pair<Instant, bool>> peerContact;
};

} // namespace tray
