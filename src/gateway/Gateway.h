// Entry instance of a routed fleet: takes callers' requests and sends them to upstreams.
#pragma once

#include "dispatch/Dispatcher.h"
#include "dispatch/RetryAllowance.h"
#include "dispatch/WaitingRoom.h"
#include "fleet/DatagramPort.h"
#include "fleet/FleetStore.h"
#include "fleet/ListRelay.h"
#include "gateway/DemandMeter.h"
#include "gateway/PlannerDesk.h"
#include "gateway/RequestCodec.h"
#include "gateway/Signal.h"
#include "gateway/StopWindow.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "observe/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>

namespace tray {

class Exchange;

/// What a gateway is told at its start.
struct GatewaySettings
{
    std::string instance;
    std::string dataCentre;
    std::string region;
    std::vector<std::pair<std::string, std::string>> regions;
    Address callers;
    Address readiness;
    /// Datagrams of stewards and of other gateways.
    Address datagrams;
    /// Port on which stewards take datagrams, on the address of their engine.
    uint16_t stewardPort = 0;
    /// Part of a core that the process has.
    double processorShare = 1;
    RetryBounds retries;
    LoadBounds loads;
    /// Time between SIGTERM and the end of the process.
    Duration stopGrace = std::chrono::seconds(8);
};

/// Runs on one thread: all client accounts are used from the context's thread only.
class Gateway
{
public:
    Gateway(boost::asio::io_context &context, GatewaySettings settings, FleetStore &store,
            const RequestCodec &codec, Metrics &metrics);
    ~Gateway();

    /// Binds all addresses and starts to follow the store.
    Result<Unit> start();
    /// Withdraws readiness, lets callers move away and waits for the requests in flight. Those that
    /// are left shortly before the end get a final answer.
    boost::asio::awaitable<void> stop();
    /// Knows a configuration and the upstreams, and is not stopping.
    bool isReady() const;

private:
    friend class Exchange;

    boost::asio::awaitable<void> followConfig();
    boost::asio::awaitable<void> followUpstreams();
    boost::asio::awaitable<Result<UpstreamDirectory::Notices>> readUpstreams();
    /// Tells the data centre's other gateways that this one reads the instance list for them.
    boost::asio::awaitable<void> relayLoop();
    /// Reads the configuration while the watch for it may hang since a failure of the store.
    boost::asio::awaitable<void> refreshConfig();
    boost::asio::awaitable<void> subscribeLoop();
    boost::asio::awaitable<void> awaitDrain(Instant limit);

    void takeConfig(const ConfigReading &reading);
    void takeNotices(const UpstreamDirectory::Notices &notices);
    void takeListWord(const proto::ListWord &word);
    void sendListWord(proto::ListWord word);
    /// Asks the steward beside an engine for snapshots; nothing for upstreams that have none.
    void subscribe(const UpstreamEntry &entry);
    void subscribeAll();
    /// A request goes to an upstream; from now on its snapshots are wanted.
    void noteUse(const std::string &upstreamId);
    void noteStoreAnswered();
    /// A call to the store that began then has failed.
    void noteStoreFailed(Instant calledAt, const std::string &reason);
    void receive(const proto::Datagram &datagram, const Address &sender);
    void registerGauges();
    Address stewardOf(const UpstreamEntry &entry) const;
    size_t gatewayCount() const;
    RetryAllowance &allowanceOf(const std::string &service);

    boost::asio::io_context &context;
    const GatewaySettings settings;
    FleetStore &store;
    const RequestCodec &codec;
    Metrics &metrics;
    HttpClient client;
    HttpServer callerServer;
    HttpServer readinessServer;
    DatagramPort datagrams;

    std::shared_ptr<const FleetConfig> config;
    UpstreamDirectory directory;
    ListRelay relay;
    // A peer told of the instance list.
    Signal listWordArrived;
    // Newest version of the configuration that a peer has told, and when.
    uint64_t peersConfigVersion = 0;
    Instant peersConfigAt{};
    Dispatcher dispatcher;
    DemandMeter demand;
    Signal snapshotArrived;
    // An attempt ended or its prompt was read.
    Signal roomChanged;
    WaitingRoom room;
    // Requests that are being served; each one enters and leaves by itself, and may outlive the
    // gateway.
    std::shared_ptr<std::set<Exchange *>> exchanges = std::make_shared<std::set<Exchange *>>();
    std::map<std::string, RetryAllowance> allowances;
    PlannerDesk desk;
    bool upstreamsKnown = false;
    bool storeReachable = true;
    // The watch of the configuration may hang unnoticed until then.
    Instant configSuspectUntil{};
    StopWindow stopWindow;
};

} // namespace tray
