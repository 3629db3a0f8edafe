// The process beside one engine: its only source of orders, and its voice towards the gateways.
#pragma once

#include "fleet/DatagramPort.h"
#include "fleet/FleetStore.h"
#include "fleet/OrderPort.h"
#include "observe/Metrics.h"
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
    Address datagrams;
    /// Time from a stop's beginning until the process is killed.
    Duration stopGrace = std::chrono::seconds(8);
};

/// Runs on one thread. A fencing token is the store's revision of this instance's record, written
/// anew by each process, so that tokens only rise.
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
        Instant until{};
        // Longest time between two snapshots, and the time of the last one.
        Duration period{};
        Instant toldAt{};
        // It is told of the copies on the engine's host.
        bool withCopies = false;
    };

    boost::asio::awaitable<void> obtainAuthority();
    boost::asio::awaitable<Result<uint64_t>> raiseToken();
    boost::asio::awaitable<void> recordModels();
    /// Replaces the text of this instance's record; returns its new revision.
    boost::asio::awaitable<Result<uint64_t>> writeModels(std::string text);
    boost::asio::awaitable<void> readSpec();
    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<void> work();

    void receive(const proto::Datagram &datagram, const Address &sender);
    /// Drops all wishes if the process has been paused for so long that they may have run out.
    void lookForPause(Instant bootTime);
    boost::asio::awaitable<void> pauseWatch();
    void wake();
    void takeReport(EngineReport report);
    void restoreLastLife(Instant now);
    void recordIfChanged(Instant now);
    void noteSilence(const std::string &reason);
    void announce(Instant now);
    bool canOrder() const;
    uint32_t loadingLeftMs(Instant now) const;

    boost::asio::io_context &context;
    const StewardSettings settings;
    FleetStore &store;
    OrderPort &engine;
    Metrics &metrics;
    DatagramPort datagrams;
    OrderPlanner planner;
    std::shared_ptr<const FleetConfig> config;
    // Identity and start of the engine, as the gateways learned them from the instance list.
    std::string upstreamId;
    uint64_t listedStartedAtMs = 0;
    uint64_t fencingToken = 0;
    // Revision of this instance's record; 0 while it is unknown.
    uint64_t recordRevision = 0;
    // Models that the record of an earlier process names; used up by the engine's first report.
    std::optional<std::vector<std::string>> lastLife;
    // Models that the record names, and since when the engine holds others.
    std::vector<std::string> recorded;
    std::optional<Instant> differsSince;
    bool recording = false;
    // The last report; none before the first one.
    std::optional<EngineReport> report;
    // The engine did not answer the last question.
    bool silent = false;
    std::string announcedState;
    std::map<std::string, Subscriber> subscribers;
    // One order is under way at a time; wishes that come meanwhile are seen by its loop.
    bool working = false;
    bool stopping = false;
    // When this process is known to have run last, and until when datagrams may be old ones that
    // the socket kept during a pause; by the clock that counts suspensions.
    std::optional<Instant> ranAt;
    Instant backlogUntil{};
};

} // namespace tray
