// Implementation of ControlNode: the control channel, the sync loop and the relays' loops.
#pragma once

#include "edge/HttpInstanceSource.h"
#include "edge/HttpObjectApi.h"
#include "membership/Backoff.h"
#include "membership/ParentSelector.h"
#include "net/ControlClient.h"
#include "net/ControlServer.h"
#include "net/HttpClient.h"
#include "node/ControlNode.h"
#include "node/NodeState.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>
#include <random>

namespace tray {

/// State shared by the loops, the handlers on the control library's threads and the public calls.
struct ControlNode::Impl : std::enable_shared_from_this<ControlNode::Impl>
{
    using Self = std::shared_ptr<Impl>;
    using Task = boost::asio::awaitable<void>;

    Impl(boost::asio::io_context &context, NodeIdentity identity,
         const proto::PlatformSection &platform, const proto::ControlSection &control,
         Metrics &metrics, EventRing &events);

    // Control channel (ControlNodeImpl.cpp).
    Result<Address> listen();
    void handle(const std::string &message, ControlServer::Reply reply);
    proto::ControlReply answer(const proto::ControlRequest &request);
    proto::ControlReply answerStatus();
    proto::ControlReply answerEvents(const proto::EventsRequest &request);
    void finish(proto::ControlReply &reply, const ControlServer::Reply &send);
    void noteHeadVersion(uint64_t version);
    boost::asio::awaitable<Result<proto::ControlReply>>
    call(Address peer, proto::ControlRequest request, Duration timeout);

    // Sync over the relay tree (NodeSync.cpp).
    Task syncLoop(Self self);
    /// Returns true if the next sync is to follow immediately.
    boost::asio::awaitable<bool> syncOnce();
    boost::asio::awaitable<bool> syncWith(proto::InstanceEntry parent);
    Task queryPeers();
    Task queryPeer(Self self, proto::InstanceEntry peer);
    Task fetchSections(Address peer);
    /// Contacts an unresponsive process directly, and marks its upstream as lost if it does not
    /// answer.
    Task checkUnresponsive(Self self, StatusTable::Status status);
    /// Does the same for the upstreams of one data centre that no process reports as reachable.
    Task checkDataCentre(Self self, std::vector<StatusTable::Status> statuses);
    boost::asio::awaitable<bool> isReachable(StatusTable::Status status);
    void markLost(const StatusTable::Status &status);
    void startChecks(Instant now);
    void wake();
    Task sleepFor(Duration time);
    /// Sends new suspects immediately along the edges of the tree (SuspectPropagation.cpp).
    void propagateSuspects(const std::vector<proto::Suspect> &suspects, const std::string &sender);
    std::vector<proto::InstanceEntry> parentCandidates() const;
    void logHeadChange(uint64_t headBefore);

    // Platform (PlatformLoops.cpp).
    Task registerLoop(Self self);
    Task instanceLoop(Self self);
    Task watchLoop(Self self, std::string prefix);
    /// Runs one list or watch call and reads the objects that it reports. Returns false after a
    /// failure.
    boost::asio::awaitable<bool> watchRound(const std::string &prefix, uint64_t &revision,
                                            Instant &rereadAt);
    boost::asio::awaitable<bool> readObject(std::string key);
    boost::asio::awaitable<bool> readHead();
    Task fetchSectionsFromPlatform();
    boost::asio::awaitable<bool> readInstances();

    double random();
    Instant now() const { return std::chrono::steady_clock::now(); }

    boost::asio::io_context &context;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    const NodeIdentity identity;
    const proto::ControlSection settings;
    Metrics &metrics;
    EventRing &events;
    HttpClient http;
    HttpObjectApi api;
    HttpInstanceSource source;
    // Both are reset by the destructor of ControlNode, so that no library thread runs after it.
    std::unique_ptr<ControlClient> client;
    std::unique_ptr<ControlServer> server;
    std::atomic<bool> stopping{false};
    // The process does a relay's work: it is a relay, or no parent answers.
    std::atomic<bool> relaying{false};
    std::atomic<uint64_t> serverSent{0};
    std::atomic<uint64_t> serverReceived{0};

    // Guards the members below.
    mutable std::mutex mutex;
    NodeState state;
    std::map<proto::ControlRequest::BodyCase, Handler> handlers;
    proto::InstanceEntry entry;
    std::minstd_rand randomSource;

    // Used on the strand only.
    ParentSelector parentSelector;
    boost::asio::steady_timer wakeTimer;
    bool woken = false;
    bool registered = false;
};

} // namespace tray
