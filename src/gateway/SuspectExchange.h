// Recognises requests and prompt parts that crash upstreams, over all gateways: probes an upstream
// whose connection broke under a request, counts confirmed crashes and shares them with the other
// gateways.
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
    /// Ways to reach the other gateways, and what the own gateway provides.
    struct Peers
    {
        std::function<void(const proto::Datagram &datagram)> sendToDataCentre;
        /// Sends to one gateway of each other data centre; the number selects which.
        std::function<void(const proto::Datagram &datagram, uint64_t selector)> sendToOthers;
        /// Sends to one gateway, which the number selects, of the own data centre.
        std::function<void(const proto::Datagram &datagram, uint64_t selector)> sendToOne;
        std::function<void(const proto::Datagram &datagram, const std::string &peer)> sendTo;
        std::function<bool(const std::string &peer)> isInDataCentre;
        /// Number of gateways that should send a request that probes a suspect before this one.
        CrashTracker::ProbeOrder probeOrder;
        /// Called if the probed upstream, of this start time, refuses connections.
        std::function<void(const std::string &upstream, uint64_t startedAtMs)> upstreamRefused;
        /// Called after an upstream was probed.
        std::function<void()> upstreamProbed;
    };

    SuspectExchange(boost::asio::io_context &context, HttpClient &client, Peers peers)
        : context(context), client(client), peers(std::move(peers)), tracker(this->peers.probeOrder)
    {}

    /// Suspects and their gate, for the decisions on a request.
    CrashTracker &crashTracker() { return this->tracker; }

    /// Investigates a connection that broke while the upstream may have been executing a request,
    /// which was sent at the given time.
    void handleBreak(const SuspectIdentity &request, const std::string &requestId,
                     const UpstreamEntry &upstream, Instant sentAt, Instant now);
    /// Finds out whether an upstream that could not be reached refuses connections.
    void probe(const UpstreamEntry &upstream);
    /// Returns whether it is not yet known whether an upstream whose connection broke has ended.
    bool isProbing(const std::string &upstream) const { return this->probed.contains(upstream); }
    /// Records that an upstream has restarted, or was removed from the list without an
    /// announcement.
    void handleUpstreamEnd(const std::string &upstream, Instant now);
    void handleCompletion(uint64_t contentDigest, Instant now);
    /// Records that an upstream has answered a request with these prompt parts.
    void handleSoundAnswer(const std::vector<uint64_t> &partDigests, Instant now);
    /// Records that a request is sent that probes these suspects.
    void handleProbe(const std::vector<uint64_t> &digests, const std::string &requestId,
                     Instant now);
    void handleReport(const std::string &sender, const proto::SuspectReport &report, Instant now);
    /// Merges suspects that were stored. The peers have read them, too.
    void handleStored(const proto::SuspectReport &stored, Instant now);
    /// Repeats recent changes, since datagrams may be lost, and confirmed suspects for as long as
    /// they last, for gateways that were out of reach. Asks for all suspects until a peer has
    /// answered. Called about once a second.
    void runPeriodic(Instant now);

private:
    /// Largest number of suspects in one datagram.
    static constexpr size_t MaxSuspectsPerDatagram = 40;

    boost::asio::awaitable<void> runProbe(std::string upstream, uint64_t startedAtMs,
                                          Address address);
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
