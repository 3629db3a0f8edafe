// Recognises requests that crash upstreams, over all gateways: probes an upstream whose connection
// broke under a request, counts confirmed crashes and shares them with the other gateways.
#pragma once

#include "fleet/Upstream.h"
#include "net/HttpClient.h"
#include "routing/CrashTracker.h"

#include "fleet.pb.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>

namespace tray {

/// Not thread-safe: used from the gateway's thread only.
class SuspectExchange
{
public:
    /// Ways to reach the other gateways.
    struct Peers
    {
        std::function<void(const proto::Datagram &datagram)> sendToDataCentre;
        /// Sends to one gateway of each other data centre; the number selects which.
        std::function<void(const proto::Datagram &datagram, uint64_t selector)> sendToOthers;
        /// Sends to one gateway, which the number selects, of the own data centre.
        std::function<void(const proto::Datagram &datagram, uint64_t selector)> sendToOne;
        std::function<void(const proto::Datagram &datagram, const std::string &peer)> sendTo;
        std::function<bool(const std::string &peer)> isInDataCentre;
    };

    SuspectExchange(boost::asio::io_context &context, HttpClient &client, Peers peers)
        : context(context), client(client), peers(std::move(peers))
    {}

    /// Suspects and their gate, for the decisions on a request.
    CrashTracker &crashTracker() { return this->tracker; }

    /// Investigates a connection that broke while the upstream may have been executing a request.
    void handleBreak(uint64_t contentDigest, const std::string &requestId,
                     const UpstreamEntry &upstream, Instant now);
    /// Records that an upstream has restarted, or was removed from the list without an
    /// announcement.
    void handleUpstreamEnd(const std::string &upstream, Instant now);
    void handleCompletion(uint64_t contentDigest, Instant now);
    void handleReport(const std::string &sender, const proto::SuspectReport &report, Instant now);
    /// Repeats recent changes, since datagrams may be lost, and asks for all suspects until a peer
    /// has answered. Called about once a second.
    void runPeriodic(Instant now);

private:
    /// Largest number of suspects in one datagram.
    static constexpr size_t MaxSuspectsPerDatagram = 40;

    boost::asio::awaitable<void> probe(std::string upstream, Address address);
    /// Sends changes that arose here to all gateways.
    void announce(const std::vector<proto::Suspect> &changes, Instant now);
    void forEachDatagram(const std::vector<proto::Suspect> &suspects,
                         const std::function<void(const proto::Datagram &datagram)> &send);

    boost::asio::io_context &context;
    HttpClient &client;
    const Peers peers;
    CrashTracker tracker;
    // Upstreams that are being probed.
    std::set<std::string> probed;
    // Number of periodic runs; selects the peers of a run.
    uint64_t periodicRuns = 0;
    bool hasPeerAnswer = false;
};

} // namespace tray
