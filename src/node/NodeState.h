// State of a control node (one process) that it exchanges with its neighbours in the relay tree,
// and the rules by which it changes. Does no I/O and reads no clock.
#pragma once

#include "base/Time.h"
#include "catalogue/Catalogue.h"
#include "catalogue/Sections.h"
#include "membership/InstanceHistory.h"
#include "membership/RelayTree.h"
#include "membership/StatusTable.h"
#include "node/ControlNode.h"
#include "node/DemandAggregator.h"
#include "routing/SuspectTable.h"

#include "control.pb.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Configuration, instances, statuses, requested placements, suspects, demand and freshness of one
/// control node (one process). Not thread-safe.
class NodeState
{
public:
    /// A child that has not polled for this long is contacted directly, and its upstream is marked
    /// as lost if it does not answer.
    static constexpr Duration ChildTimeout = std::chrono::seconds(5);
    /// A child that has not polled for this long is left out of the process count and the lowest
    /// head version (proto::InForce), and its report no longer contradicts a lost mark.
    static constexpr Duration ChildReportLifetime = std::chrono::seconds(3);
    /// Time after which a lost upstream of an unlisted instance is forgotten.
    static constexpr Duration LostUpstreamLifetime = std::chrono::seconds(60);
    /// A relay whose last contact with the platform is older than this regards the contact as
    /// lost; in normal operation the instance list is read every second.
    static constexpr Duration PlatformContactTimeout = milliseconds(1200);

    /// The change log's id is a random number that distinguishes the positions in this process's
    /// change log from those of an earlier process with the same instance id.
    NodeState(NodeIdentity identity, uint64_t changeLogId, Duration maxContactAge);

    // Exchange with neighbours.

    /// Request to a parent, and the state of this process when it is sent.
    struct Poll
    {
        std::string parent;
        proto::SyncRequest request;
        /// Position in this process's change log up to which the request has the changes.
        uint64_t position = 0;
        Instant sentAt{};
    };

    /// Makes a request for the parent. Removes the demand that it sends; onPollFailed() restores
    /// it.
    Poll makePoll(const std::string &parent, Instant now);
    /// Records that the parent did not answer.
    void onPollFailed(const Poll &poll, Instant now);
    /// Makes a request for only the head, instances, requested placements and the age of the last
    /// contact with the platform.
    proto::SyncRequest makeQuery() const;
    /// Answers a child's poll or a query.
    proto::SyncReply answer(const proto::SyncRequest &request, Instant now);
    /// Applies a parent's reply. Returns true if the parent must be polled again immediately,
    /// because it has restarted and has lost all that it was sent before.
    bool applyReply(const Poll &poll, const proto::SyncReply &reply, Instant now);
    /// Applies another relay's reply to a query.
    void applyPeerReply(const std::string &peer, const proto::SyncReply &reply, Instant sentAt,
                        Instant now);
    /// Acts as root of the tree, because no parent answers: distributes the demand.
    void actAsRoot(Instant now);
    /// Statuses of upstreams that no process reports as reachable any more. They must be contacted
    /// directly.
    struct UnconfirmedStatuses
    {
        /// Reported by a child that timed out, or of a parent that has not answered for as long.
        std::vector<StatusTable::Status> individual;
        /// Received from a parent before this process became a root, by data centre: a failed
        /// link between data centres makes all upstreams of a data centre unreachable at the same
        /// time.
        std::map<std::string, std::vector<StatusTable::Status>> orphans;
    };
    /// Each status is returned once; orphans are returned again after the child timeout if they are
    /// still unconfirmed.
    UnconfirmedStatuses takeUnconfirmed(Instant now);
    void markLost(const StatusTable::Status &seen, Instant now);
    /// Forgets lost upstreams whose instance has been off the list for LostUpstreamLifetime. That
    /// time exceeds the propagation time of a lost mark (see StatusTable) to every neighbour, so
    /// none sends the status back.
    void forgetLost(Instant now);

    // Configuration.

    /// Offers a head; heads that are not newer than the pending one, or than the current one if
    /// none is pending, are ignored.
    void offerHead(const proto::Head &head);
    /// Digests of the sections that are missing before the pending head can be in force.
    std::vector<uint64_t> missingDigests() const;
    /// Stores the sections whose digests are missing, and puts the pending head in force once it is
    /// complete. Returns true if the configuration in force changed.
    bool addSections(const std::vector<std::string> &sections);
    std::vector<std::string> sections(const proto::SectionsRequest &request) const;
    std::shared_ptr<const Catalogue> catalogue() const { return this->currentCatalogue; }
    uint64_t headVersion() const { return this->currentCatalogue->headVersion(); }
    uint64_t highestHeadVersion() const { return this->highestVersion; }
    void noteHeadVersion(uint64_t version)
    {
        this->highestVersion = std::max(this->highestVersion, version);
    }

    // Platform and freshness.

    void notePlatformContact(Instant at);
    void setInstances(const proto::InstanceList &list);
    void setRequestedPlacement(const proto::Wish &placement);
    /// Whether the configuration of this process is recent enough: its last contact with the
    /// platform is not older than maxContactAge, or no relay reaches the platform and the highest
    /// head version seen is in force here.
    bool isFresh(Instant now) const;
    bool isPlatformUnreachable(Instant now) const;
    Instant lastPlatformContactAt() const { return this->platformContactAt; }

    // State of this process, and views of the shared state.

    void setOwnStatus(proto::UpstreamStatus status, Instant now);
    void setSelf(const proto::InstanceEntry &entry);
    const RelayTree &tree() const { return this->relayTree; }
    std::shared_ptr<const UpstreamStatuses> statuses() const;
    std::shared_ptr<const proto::InstanceList> instances() const { return this->instanceList; }
    /// Requested placements by region.
    const std::map<std::string, proto::Wish> &requestedPlacements() const
    {
        return this->placements;
    }
    /// Number of processes and lowest head in force in the entire system, as far as known here.
    proto::InForce systemInForce(Instant now) const;
    DemandAggregator &demand() { return this->demandAggregator; }
    /// Control addresses of the parent and of the children that polled recently, without the given
    /// instance.
    std::vector<std::string> neighbourAddresses(const std::string &exceptInstance,
                                                Instant now) const;
    SuspectTable &suspects() { return this->suspectTable; }
    const SuspectTable &suspects() const { return this->suspectTable; }

private:
    struct Child
    {
        proto::InForce inForce;
        Instant lastContactAt{};
        bool relay = false;
    };
    struct Parent
    {
        std::string id;
        uint64_t changeLogId = 0;
        // Position in the parent's change log up to which its changes are known here.
        uint64_t parentPosition = 0;
        // Position in this process's change log up to which the parent has the changes.
        uint64_t ownAckedPosition = 0;
    };

    bool commitIfComplete();
    /// Applies the fields that replies to polls and to queries have in common.
    void applyCommonFields(const proto::SyncReply &reply, Instant sentAt);
    /// Overrides a wrong lost mark of this process's upstream with a higher liveness.
    void correctOwnStatus(Instant now);
    void applyStatus(const proto::UpstreamStatus &status, StatusTable::StatusSource source,
                     const std::string &origin, Instant now);
    /// Whether a neighbour marked an upstream as lost that another child, which polled recently,
    /// reports as reachable.
    bool isMarkContradicted(const proto::UpstreamStatus &mark, const std::string &origin,
                            Instant now) const;
    void distributeDemand(const google::protobuf::RepeatedPtrField<proto::Demand> &demand);
    proto::InForce subtreeInForce(Instant now) const;
    bool hasParent() const { return !this->parent.id.empty(); }

    const NodeIdentity identity;
    const uint64_t changeLogId;
    // Maximum age of the last contact with the platform, and of the reports of the parent and of
    // other relays about it.
    const Duration maxContactAge;

    std::shared_ptr<const Catalogue> currentCatalogue = std::make_shared<const Catalogue>();
    proto::Head currentHead;
    std::optional<proto::Head> pendingHead;
    // Sections of the current and the pending head.
    SectionBytes sectionBytes;
    uint64_t highestVersion = 0;

    proto::InstanceEntry self;
    std::shared_ptr<const proto::InstanceList> instanceList;
    InstanceHistory instanceHistory;
    RelayTree relayTree;
    StatusTable statusTable;
    mutable std::shared_ptr<const UpstreamStatuses> statusView;
    proto::UpstreamStatus ownStatus;
    std::map<std::string, proto::Wish> placements;
    SuspectTable suspectTable;
    DemandAggregator demandAggregator;

    std::map<std::string, Child> children;
    Parent parent;
    // Parents that do not answer, and when their first poll failed.
    std::map<std::string, Instant> failedParents;
    proto::InForce parentSystemInForce;
    // Lost upstreams of unlisted instances, and when they were first found in this state.
    std::map<std::string, Instant> unlistedSince;
    // Start of the current wait for orphans to be confirmed: the time when this process became a
    // root, or when the orphans were last returned. Empty while it has a parent.
    std::optional<Instant> orphanTimerStart;

    Instant platformContactAt{};
    Instant parentContactAt{};
    bool parentReportsPlatformUnreachable = false;
    // Other relays' replies to queries: when they arrived, and whether the relay had contact with
    // the platform.
    std::map<std::string, std::pair<Instant, bool>> peerContact;
};

} // namespace tray
