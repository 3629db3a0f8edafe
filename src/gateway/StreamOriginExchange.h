// Finds out which software version began a stream that a caller takes up again, also if another
// gateway, or this instance before a restart, has passed on its first event. Stewards and peer
// gateways are told when a stream begins and asked when it is taken up. The gateway at which a
// stream began or was taken up last tells witnesses again that have restarted since.
#pragma once

#include "fleet/StreamOrigins.h"
#include "fleet/WitnessLedger.h"
#include "gateway/AsyncCondition.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <vector>

namespace tray {

/// Not thread-safe: used from the gateway's thread only.
class StreamOriginExchange
{
public:
    /// Ways to reach the witnesses, and what the own gateway provides.
    struct Peers
    {
        std::function<const std::map<std::string, UpstreamEntry> &()> upstreams;
        /// Whether the upstreams of a service have stewards.
        std::function<bool(const std::string &service)> hasStewards;
        std::function<Address(const UpstreamEntry &entry)> stewardAddress;
        std::function<std::vector<std::string>(Instant now)> livePeers;
        std::function<void(const proto::Datagram &datagram, const Address &target)> sendTo;
        std::function<void(const proto::Datagram &datagram, const std::string &peer)> sendToPeer;
        /// Returns the only version of a service that can have begun a stream before the call, if
        /// that can be known by the given time.
        std::function<boost::asio::awaitable<std::optional<std::string>>(std::string service,
                                                                         Instant limit)>
            findSoleVersion;
        /// Whether requests that wait must get their final response.
        std::function<bool(Instant now)> areAnswersDue;
    };

    StreamOriginExchange(boost::asio::io_context &context, Peers peers)
        : context(context), peers(std::move(peers))
    {}

    /// Records what begins a stream, before its first event is passed on, and tells its witnesses.
    /// A later record of the same stream replaces the earlier one.
    void record(const std::string &requestId, const StreamOrigin &origin, Instant now);
    /// Returns what began the stream of an earlier attempt of a caller, or nothing if that cannot
    /// be known within MaxSearchTime or by the given time. The id is empty if the caller names
    /// none. The service is the one that the route prefers for the stream; isOnlyService tells
    /// whether it can be of no other one.
    boost::asio::awaitable<std::optional<StreamOrigin>>
    findOrigin(std::string requestId, std::string service, bool isOnlyService, Instant limit);
    /// Handles a witness's report, or that of a gateway at which a stream began.
    void handleReport(const std::string &sender, const Address &address,
                      const proto::StreamOriginReport &report, Instant now);
    void handleQuery(const proto::StreamOriginQuery &query, const Address &address, Instant now);
    /// Handles a sign of life of a steward, or of a peer gateway. One that is not of the
    /// incarnation before has lost what it was told, and is told again.
    void handleSteward(const Address &address, uint64_t incarnation, Instant now);
    void handlePeer(const std::string &peer, uint64_t incarnation, Instant now);
    /// Streams whose witnesses this gateway tells again.
    size_t toldStreams() const { return this->ledger.size(); }
    /// Ends the searches, because the requests that wait must get their final responses.
    void handleAnswersDue();

    /// Longest search among the witnesses, which covers two questions to peers in other regions,
    /// and longest wait after it for the store's word on the versions.
    static constexpr Duration MaxWitnessSearchTime = milliseconds(600);
    static constexpr Duration MaxVersionCheckTime = milliseconds(600);
    static constexpr Duration MaxSearchTime = MaxWitnessSearchTime + MaxVersionCheckTime;

private:
    /// Searches that wait for witnesses at most; further ones know what this gateway knows.
    static constexpr size_t MaxSearches = 1000;

    struct Search
    {
        uint64_t stream = 0;
        // Witnesses that have not answered.
        Witnesses awaited;
        // A report on the stream has arrived.
        AsyncCondition reportArrived;
    };

    Witnesses selectWitnesses(uint64_t stream, const std::string &service,
                              const WitnessCounts &counts, Instant now) const;
    void send(const proto::Datagram &datagram, const Witnesses &targets);
    /// Tells the witnesses of a stream what began it. Returns those that were told.
    Witnesses tellWitnesses(uint64_t stream, const StreamOrigin &origin, Instant now);
    /// Tells one witness what began the given streams.
    void tellAgain(const Witnesses &witness, const std::vector<uint64_t> &streams, Instant now);
    /// Asks the witnesses of a stream until one of them knows it, all have answered or the time is
    /// over. What they know is in the table afterwards.
    boost::asio::awaitable<void> askWitnesses(uint64_t stream, std::string service, Instant limit);

    boost::asio::io_context &context;
    const Peers peers;
    StreamOrigins origins;
    WitnessLedger ledger;
    std::list<Search> searches;
};

} // namespace tray
