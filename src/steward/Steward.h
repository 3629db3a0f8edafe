// The process beside one engine: sends it all orders for models and adapters, and sends snapshots
// of its state to the gateways, and admits their requests.
#pragma once

#include "fleet/DatagramPort.h"
#include "fleet/FleetStore.h"
#include "fleet/OrderPort.h"
#include "fleet/StreamOrigins.h"
#include "observe/Metrics.h"
#include "steward/AdmissionService.h"
#include "steward/OrderPlanner.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>

namespace tray {

struct StewardSettings
{
    std::string instance;
    /// Service of the engine.
    std::string service;
    /// Address on which datagrams are received.
    Address datagramAddress;
    /// Time from the beginning of a stop until the process is killed.
    Duration stopGrace = std::chrono::seconds(8);
};

/// Executes the requests of the planner and the gateways for one engine. Runs on one thread. The
/// fencing token is the store revision of this instance's record; each process rewrites the record,
/// so tokens only rise.
class Steward
{
public:
    Steward(boost::asio::io_context &context, StewardSettings settings, FleetStore &store,
            OrderPort &engine, Metrics &metrics);

    Result<Unit> start();
    boost::asio::awaitable<void> stop();

private:
    struct Subscriber
    {
        Address address;
        Instant expiresAt{};
        // Longest time between two snapshots, and the time of the last one.
        Duration period{};
        Instant sentAt{};
        // Whether snapshots list the copies on the engine's host.
        bool withCopies = false;
        // Stamp of the last subscription, and the one that it had when the engine was asked for its
        // present report.
        uint64_t stamp = 0;
        uint64_t reportStamp = 0;
    };

    boost::asio::awaitable<void> obtainAuthority();
    boost::asio::awaitable<Result<uint64_t>> raiseFencingToken();
    boost::asio::awaitable<void> recordModels();
    /// Replaces the text of this instance's record. Returns its new revision.
    boost::asio::awaitable<Result<uint64_t>> writeRecordText(std::string text);
    boost::asio::awaitable<void> readConfiguration();
    /// Reads the configuration again if a gateway has a newer version that states something else
    /// about the engine. Other versions don't concern a steward.
    void noteGatewayConfig(uint64_t version, uint64_t digest, Instant now);
    boost::asio::awaitable<void> refreshConfiguration();
    boost::asio::awaitable<void> reportLoop();
    /// Reads the engine's report, and records which subscriptions had arrived before.
    boost::asio::awaitable<void> readReport();
    boost::asio::awaitable<void> runOrderLoop();

    void receive(const proto::Datagram &datagram, const Address &sender);
    /// Drops all requests if the process was paused for so long that they may have expired.
    void detectPause(Instant bootTime);
    boost::asio::awaitable<void> watchForPauses();
    /// Starts the order loop unless it runs or no orders can be given.
    void startOrderLoop();
    void applyReport(EngineReport report);
    void restorePreviousModels(Instant now);
    void recordIfChanged(Instant now);
    void noteEngineUnresponsive(const std::string &reason);
    void sendSnapshots(Instant now);
    bool canOrder() const;
    /// Whether an ask is for the engine beside this steward, as its last report shows it.
    bool isForEngine(const proto::AdmissionAsk &ask) const;
    /// Returns what the configuration states about the engine; null if it is unknown.
    const EngineSpec *engineSpec() const;
    uint32_t remainingLoadMs(Instant now) const;

    boost::asio::io_context &context;
    const StewardSettings settings;
    FleetStore &store;
    OrderPort &engine;
    Metrics &metrics;
    // Tells gateways whether this process has restarted.
    const uint64_t incarnation;
    DatagramPort datagrams;
    AdmissionService admissions;
    OrderPlanner planner;
    std::shared_ptr<const FleetConfig> config;
    // Digest of what the configuration states about the engine; 0 if nothing.
    uint64_t engineDigest = 0;
    // Time of the last read of the configuration that a gateway caused, and whether it still runs.
    Instant configReadAt{};
    bool configReadRunning = false;
    // Id and start time of the engine in the instance list, as sent by the gateways.
    std::string upstreamId;
    uint64_t listedStartedAtMs = 0;
    uint64_t fencingToken = 0;
    // Revision of this instance's record; 0 while it is unknown.
    uint64_t recordRevision = 0;
    // Era of the last write of the record, and the highest era that a gateway has reported. A
    // record of an earlier era may be lost.
    uint64_t recordEra = 0;
    uint64_t reportedEra = 0;
    // Models that the engine held before it restarted: those in the record of the previous process
    // until the engine's first report, and those of the last report of an earlier incarnation.
    // Cleared once it is decided whether to restore them.
    std::optional<std::vector<std::string>> previousModels;
    // Models in the record, and the time since which the engine holds different ones.
    std::vector<std::string> recordedModels;
    std::optional<Instant> modelsDifferSince;
    bool recordWriteRunning = false;
    // Latest report of the engine; not set before the first one.
    std::optional<EngineReport> report;
    // Whether the engine did not answer the last request for its report.
    bool engineUnresponsive = false;
    // Serialized state of the last snapshot, without load figures.
    std::string lastSentState;
    std::map<std::string, Subscriber> subscribers;
    // Origins of streams for which this steward is a witness, of its engine or of others.
    StreamOrigins streamOrigins;
    // Whether the order loop runs. It has one order in flight at a time and also handles the
    // requests that arrive meanwhile.
    bool orderLoopRunning = false;
    bool stopping = false;
    // Last time at which this process is known to have run, and the time until which datagrams may
    // be old ones that the socket buffered during a pause; of the clock that counts suspensions.
    std::optional<Instant> lastRanAt;
    Instant backlogUntil{};
};

} // namespace tray
