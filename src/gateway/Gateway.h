// Entry instance of a routed fleet: accepts callers' requests and forwards them to upstreams.
// Follows the configuration and the instance list in the store, receives engine snapshots from
// stewards, and exchanges demand and changes of the instance list with the other gateways.
#pragma once

#include "dispatch/Dispatcher.h"
#include "dispatch/PrefillQueue.h"
#include "dispatch/SharedRetryBudget.h"
#include "fleet/DatagramPort.h"
#include "fleet/FleetStore.h"
#include "fleet/ListAge.h"
#include "fleet/ListRelay.h"
#include "gateway/AdmissionClient.h"
#include "gateway/AsyncCondition.h"
#include "gateway/DemandMeter.h"
#include "gateway/PlannerCoordinator.h"
#include "gateway/QuotaExchange.h"
#include "gateway/RequestCodec.h"
#include "gateway/ServiceVersionRecords.h"
#include "gateway/ShutdownSchedule.h"
#include "gateway/StreamOriginExchange.h"
#include "gateway/SubscriptionStamps.h"
#include "gateway/SuspectExchange.h"
#include "gateway/SuspectRecords.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "net/MemoryBudget.h"
#include "observe/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>

namespace tray {

class Exchange;

/// Settings of a gateway, fixed for the lifetime of the process.
struct GatewaySettings
{
    std::string instance;
    std::string dataCentre;
    std::string region;
    std::vector<std::pair<std::string, std::string>> regionByDataCentre;
    Address callerAddress;
    Address readinessAddress;
    /// Address that receives the datagrams of stewards and of other gateways.
    Address datagramAddress;
    /// Port on which stewards receive datagrams, on the host of their engine.
    uint16_t stewardPort = 0;
    /// Processor time of the process, in cores.
    double cpuCores = 1;
    /// Most memory that the bodies of requests and responses may hold together, in bytes.
    size_t bodyMemoryBytes = 64u << 20;
    SharedRetryLimits retryLimits;
    StoreLoadLimits loadLimits;
    QuotaBounds quotaBounds;
    /// Time between SIGTERM and the end of the process.
    Duration shutdownGracePeriod = std::chrono::seconds(8);
};

/// Serves callers' requests. Not thread-safe: all members are used from the context's thread only.
class Gateway
{
public:
    Gateway(boost::asio::io_context &context, GatewaySettings settings, FleetStore &store,
            const RequestCodec &codec, Metrics &metrics);
    ~Gateway();

    /// Binds all addresses and starts following the store.
    Result<Unit> start();
    /// Shuts down gracefully: withdraws readiness, drains the callers' connections and waits for
    /// the requests in flight. Requests that are left shortly before the end get a final response.
    boost::asio::awaitable<void> stop();
    /// Returns whether the gateway knows a configuration and the upstreams, has asked for the
    /// stored suspects, and is not shutting down.
    bool isReady() const;

private:
    friend class Exchange;

    boost::asio::awaitable<void> followConfig();
    boost::asio::awaitable<void> followUpstreams();
    /// Reads the instance list, or its changes, for which it waits up to the given time.
    boost::asio::awaitable<Result<UpstreamDirectory::Notices>> readUpstreams(Duration wait);
    /// Returns the time for which the next read of the instance list may wait for changes.
    Duration upstreamWatchTimeout() const;
    /// Announces to the other gateways of the data centre that this one reads the instance list for
    /// them, or no longer does so.
    boost::asio::awaitable<void> listUpdateLoop();
    /// Reads the configuration if a peer has reported a newer version.
    boost::asio::awaitable<void> catchUpConfig();
    /// Returns whether a peer has reported a newer version of the configuration.
    bool isConfigOutdated() const;
    /// Reads the configuration if its watch may hang because the store has failed recently.
    boost::asio::awaitable<void> refreshConfig();
    boost::asio::awaitable<void> subscribeLoop();
    boost::asio::awaitable<void> waitUntilDrained(Instant limit);
    /// Reserves time for the final responses to requests whose answer has not begun to arrive.
    void reserveFinalResponses();
    /// Ends the waits and attempts of these requests, so that they get their final responses.
    void answerWaitingRequests();

    void applyConfig(const ConfigSnapshot &reading);
    void applyUpstreamNotices(const UpstreamDirectory::Notices &notices);
    void handleListUpdate(const proto::ListWord &update);
    void sendListUpdate(proto::ListWord update);
    /// Subscribes to the snapshots of an engine at its steward. Does nothing for upstreams that are
    /// not engines and for engines whose snapshots are not needed.
    void subscribe(const UpstreamEntry &entry);
    void subscribeAll();
    /// Records that a request is being sent to an upstream, and subscribes to its snapshots if they
    /// were not needed before.
    void recordUpstreamUse(const std::string &upstreamId);
    void recordStoreSuccess();
    /// Records that the store has been restored from a copy if its era has risen since the last
    /// list.
    void recordListEra();
    /// Records that a call to the store has failed that began at the given time and might wait for
    /// changes for the given time.
    void recordStoreFailure(Instant calledAt, Duration wait, const std::string &reason);
    void handleSnapshot(const proto::EngineSnapshot &snapshot, const Address &steward);
    void handleDatagram(const proto::Datagram &datagram, const Address &sender);
    /// Records that an upstream refuses connections, so that it may start again with another
    /// software version before the list shows it, and tells the other gateways.
    void recordRefusal(const std::string &upstreamId, uint64_t startedAtMs);
    void handleUpstreamDoubt(const std::string &sender, const proto::UpstreamDoubt &doubt);
    /// Time for which a request that is about to be sent waits until the list in hand is newer;
    /// zero if it does not wait.
    Duration listWaitTime(Instant now);
    /// Records that the list is known to be complete as of a time; Instant{} if entries may be
    /// missing.
    void recordListConfirmed(Instant asOf, Instant now);
    void registerGauges();
    Address stewardAddress(const UpstreamEntry &entry) const;
    bool isInOtherRegion(const std::string &dataCentre) const;
    size_t countGateways() const;
    /// Returns the part of an upstream's request limit that this gateway may use.
    LimitShare computeShareOfLimit(const std::string &upstreamId, double limitPerSecond) const;
    /// Returns the number of gateways that should probe a suspect before this one.
    size_t countBeforeInProbes(uint64_t suspectDigest) const;
    SharedRetryBudget &retryBudgetOf(const std::string &service);

    boost::asio::io_context &context;
    const GatewaySettings settings;
    FleetStore &store;
    const RequestCodec &codec;
    Metrics &metrics;
    MemoryBudget bodyMemory;
    HttpClient client;
    HttpServer callerServer;
    HttpServer readinessServer;
    DatagramPort datagrams;

    std::shared_ptr<const FleetConfig> config;
    // Digests of what the configuration states about the engines of each service that has some.
    std::map<std::string, uint64_t> engineDigests;
    UpstreamDirectory directory;
    ListRelay listRelay;
    ListAge listAge;
    // The list in hand is known to be newer, or the store to fail.
    AsyncCondition listConfirmed;
    // A peer's report on the instance list has arrived.
    AsyncCondition listUpdateArrived;
    // Newest version of the configuration that a peer has reported.
    uint64_t peerConfigVersion = 0;
    // Time from which the configuration is read explicitly while a peer's version is newer: some
    // time after the first such report, the last new version here and the last explicit read.
    Instant configReadDueAt{};
    Dispatcher dispatcher;
    SubscriptionStamps subscriptionStamps;
    DemandMeter demand;
    AsyncCondition snapshotArrived;
    // An attempt has ended or its prompt has been read.
    AsyncCondition capacityChanged;
    PrefillQueue prefillQueue;
    // Shared, because requests may outlive the gateway.
    std::shared_ptr<AdmissionClient> admissionClient;
    // Requests that are being served. Each request adds and removes itself and may outlive the
    // gateway, so the set is shared.
    std::shared_ptr<std::set<Exchange *>> activeExchanges =
        std::make_shared<std::set<Exchange *>>();
    std::map<std::string, SharedRetryBudget> retryBudgets;
    PlannerCoordinator plannerCoordinator;
    SuspectExchange suspectExchange;
    SuspectRecords suspectRecords;
    ServiceVersionRecords versionRecords;
    StreamOriginExchange streamOrigins;
    QuotaExchange quotas;
    bool upstreamsKnown = false;
    // Era of the store in which the list was read last; empty before the first time.
    std::optional<uint64_t> listEra;
    bool storeReachable = true;
    // Until this time, the watch of the configuration may hang unnoticed.
    Instant configSuspectUntil{};
    ShutdownSchedule shutdownSchedule;
};

} // namespace tray
