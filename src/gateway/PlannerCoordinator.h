// Elects one gateway as the planner and runs the replica planner there. Gateways exchange their
// demand by datagrams; the election relies on a conditional write of one record in the store.
#pragma once

#include "dispatch/Dispatcher.h"
#include "fleet/DatagramPort.h"
#include "fleet/FleetStore.h"
#include "gateway/AsyncCondition.h"
#include "gateway/DemandMeter.h"
#include "replicas/PlanPacer.h"
#include "replicas/PlannerElection.h"
#include "replicas/ReplicaPlanner.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace tray {

/// Takes part in the planner election and, while elected, plans the placement of models and sends
/// it to the stewards. Not thread-safe: used from the gateway's thread only.
class PlannerCoordinator
{
public:
    struct Dependencies
    {
        FleetStore &store;
        DatagramPort &datagrams;
        Dispatcher &dispatcher;
        DemandMeter &demand;
        /// Returns the address of the steward of an upstream.
        std::function<Address(const UpstreamEntry &entry)> stewardAddress;
        std::function<std::shared_ptr<const FleetConfig>()> config;
        std::function<const std::map<std::string, UpstreamEntry> &()> upstreams;
        /// Called when this instance has become the planner.
        std::function<void()> onElected;
    };

    /// The processor share is the instance's processor time, in cores.
    PlannerCoordinator(boost::asio::io_context &context, std::string instance,
                       std::string dataCentre, double cpuCores, Address address,
                       StoreLoadLimits loadLimits, Dependencies dependencies);

    void start();
    /// Tells all peers that this gateway is stopping, now and with each further report.
    void announceStop(Instant now);
    void stop() { this->isStopping = true; }
    /// Requests a plan before the next period, because an engine's state has changed.
    void requestPlan() { this->planTrigger.notifyAll(); }
    /// Records that an upstream was added to the instance list.
    void recordListGrowth(Instant now) { this->listGrewAt = now; }
    /// Handles a peer's demand report.
    void handleDemandReport(const std::string &sender, const proto::DemandReport &report,
                            Instant now);
    /// Returns the number of gateways that have sent a report recently, including this one.
    size_t countGateways(Instant now) const;
    /// Returns the names and data centres of the peers that are most likely running: those that
    /// have sent a report recently, and those that the store lists and that may not have reported
    /// yet.
    std::vector<std::pair<std::string, std::string>> livePeers(Instant now) const;
    /// Whether a peer has announced that it is stopping.
    bool isPeerStopping(const std::string &peer) const;
    /// Sends a datagram to all peers in this instance's data centre.
    void sendToDataCentrePeers(const proto::Datagram &datagram);
    /// Sends a datagram to one peer of this instance's data centre, which the selector chooses.
    void sendToDataCentrePeer(const proto::Datagram &datagram, uint64_t selector);
    /// Sends a datagram to one peer of each other data centre, which the selector chooses.
    void sendToOtherDataCentres(const proto::Datagram &datagram, uint64_t selector);
    void sendTo(const std::string &peer, const proto::Datagram &datagram);
    bool isDataCentrePeer(const std::string &peer) const;
    bool isPlanner() const { return this->election.isPlanner(); }
    /// Term in which this gateway is the planner; 0 if it is not.
    uint64_t ownTerm() const { return this->election.ownTerm(); }

private:
    struct Peer
    {
        Address address;
        std::string dataCentre;
        // Time of the last report; empty for peers that are only known from the store.
        std::optional<Instant> receivedAt;
        // Time at which the store's record of the peer was read.
        Instant listedAt{};
        proto::DemandReport report;
        Instant reportAt{};
    };

    struct SentPlacement
    {
        std::vector<std::string> models;
        uint64_t term = 0;
        Instant sentAt{};
    };

    /// Returns the peer that the selector chooses in each data centre, by data centre.
    std::map<std::string, const Peer *> selectPeers(uint64_t selector) const;
    /// Writes this gateway's record and reads those of the others, again after each restore of the
    /// store, which may have lost records.
    boost::asio::awaitable<void> registerLoop();
    boost::asio::awaitable<bool> writeOwnRecord();
    void notePeerRecords(const std::vector<Record> &records, Instant now);
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> tryAcquireLeadership();

    void sendDemandReport(Instant now);
    /// Returns whether this gateway is the planner. Resigns first if its term has expired, as
    /// happens during a pause of the process.
    bool checkLeadership();
    void plan(Instant now);
    void sendPlacementRequests(const std::vector<EngineCandidate> &engines,
                               const ReplicaPlanner &planner, Instant now);
    /// Demand of all gateways.
    struct TotalDemand
    {
        std::map<std::string, PlannedDemand> models;
        // Models that continuations wait for, by service.
        std::map<std::string, std::set<VersionedModel>> continuations;
    };
    TotalDemand sumDemand(Instant now);
    std::vector<EngineCandidate> collectEngines(const std::string &service, Instant now) const;

    boost::asio::io_context &context;
    const std::string instance;
    const std::string dataCentre;
    const Address address;
    const StoreLoadLimits loadLimits;
    // Tells peers whether this instance has restarted.
    const uint64_t incarnation;
    Dependencies dependencies;
    PlannerElection election;
    PlanPacer pacer;
    // One planner for each service with engines.
    std::map<std::string, ReplicaPlanner> planners;
    // The placement that was last sent to each engine's steward.
    std::map<std::string, SentPlacement> sentPlacements;
    std::map<std::string, Peer> peers;
    // The peer that is the planner according to its last report.
    std::string knownPlanner;
    Instant reportedToAllAt{};
    Instant listGrewAt{};
    AsyncCondition planTrigger;
    bool isElecting = false;
    bool isStopAnnounced = false;
    bool isStopping = false;
};

} // namespace tray
