// Runs the election and the planner among the gateways, over datagrams and one record of the store.
#pragma once

#include "dispatch/Dispatcher.h"
#include "fleet/DatagramPort.h"
#include "fleet/FleetStore.h"
#include "gateway/DemandMeter.h"
#include "gateway/Signal.h"
#include "replicas/PlanPacer.h"
#include "replicas/PlannerElection.h"
#include "replicas/ReplicaPlanner.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace tray {

/// Runs on the gateway's thread.
class PlannerDesk
{
public:
    struct Ports
    {
        FleetStore &store;
        DatagramPort &datagrams;
        Dispatcher &dispatcher;
        DemandMeter &demand;
        /// Address of the steward beside an upstream.
        std::function<Address(const UpstreamEntry &entry)> stewardOf;
        std::function<std::shared_ptr<const FleetConfig>()> config;
        std::function<const std::map<std::string, UpstreamEntry> &()> upstreams;
        /// This instance plans from now on.
        std::function<void()> elected;
    };

    /// The instance has this part of a core.
    PlannerDesk(boost::asio::io_context &context, std::string instance, std::string dataCentre,
                double processorShare, Address address, LoadBounds bounds, Ports ports);

    void start();
    void stop() { this->stopping = true; }
    /// An engine's state has changed: the next plan need not wait for its period.
    void planSoon() { this->changed.raise(); }
    /// An upstream was added to the instance list.
    void noteListGrowth(Instant now) { this->listGrewAt = now; }
    /// A peer's word.
    void noteDemand(const std::string &sender, const proto::DemandReport &report, Instant now);
    /// Gateways that were heard lately, this one included.
    size_t gatewayCount(Instant now) const;
    /// Sends to the peers of this instance's data centre.
    void tellNeighbours(const proto::Datagram &datagram);
    bool isPlanner() const { return this->election.isPlanner(); }

private:
    struct Peer
    {
        Address address;
        std::string dataCentre;
        // Time of the last word; none for peers that are only known from the store.
        std::optional<Instant> heardAt;
        proto::DemandReport report;
        Instant reportAt{};
    };

    struct SentWish
    {
        std::vector<std::string> models;
        uint64_t term = 0;
        Instant at{};
    };

    boost::asio::awaitable<void> registerLoop();
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> takeRole();

    void tellPeers(Instant now);
    /// This gateway plans, and its term has not lapsed during a pause of the process.
    bool keepsRole();
    void plan(Instant now);
    void sendWishes(const std::vector<PlannedEngine> &engines, const ReplicaPlanner &planner,
                    Instant now);
    std::map<std::string, PlannedDemand> totalDemand(Instant now);
    std::vector<PlannedEngine> engines(const std::string &service, Instant now) const;

    boost::asio::io_context &context;
    const std::string instance;
    const std::string dataCentre;
    const Address address;
    const LoadBounds bounds;
    Ports ports;
    PlannerElection election;
    PlanPacer pacer;
    // One planner for each service with engines.
    std::map<std::string, ReplicaPlanner> planners;
    // What each engine's steward was told last.
    std::map<std::string, SentWish> sentWishes;
    std::map<std::string, Peer> peers;
    // The peer that plans, by its last word.
    std::string plannerName;
    Instant helloAt{};
    Instant listGrewAt{};
    Signal changed;
    bool electing = false;
    bool stopping = false;
};

} // namespace tray
