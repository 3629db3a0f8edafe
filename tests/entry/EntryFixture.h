// Runs an entry server over loopback connections, with scripted agents, claims and state in place
// of the real ones.
#pragma once

#include "base/Hash.h"
#include "entry/EntryServer.h"
#include "net/HttpClient.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <thread>

namespace tray::test {

/// Behaviour of a scripted agent for one attempt.
struct AgentScript
{
    enum class Kind : uint8_t {
        /// Sends the complete answer.
        Answer,
        /// Refuses the attempt with the error kind of the script.
        Refuse,
        /// Reports that the attempt failed because the engine was lost.
        LoseEngine,
        /// Sends half of the answer, then nothing; answers a Resume with the rest.
        StopSending,
        /// Receives the attempt, closes the connection and stops accepting, so a Resume fails.
        Disconnect,
        /// Sends half of the answer, closes the connection and stops accepting, so a Resume fails.
        TruncateAnswer,
        /// Sends a frame of another request and one of another attempt before the answer.
        SendForeignFrames,
        /// Sends the complete answer after a pause with heartbeats.
        AnswerLate,
        /// Sends only heartbeats while the channel is open.
        SendHeartbeats,
        /// Sends half of the answer, then only heartbeats while the channel is open.
        SendHalfThenHeartbeats,
    };
    Kind kind = Kind::Answer;
    ErrorKind error = ErrorKind::Overloaded;
};

/// Agent that serves data channels by scripts. Each attempt consumes the next script; without one
/// it is answered completely.
class ScriptedAgent
{
public:
    explicit ScriptedAgent(boost::asio::io_context &context)
        : server(context,
                 [this](std::shared_ptr<FrameChannel> channel) {
                     return this->serve(std::move(channel));
                 }),
          address(value(this->server.listen({"127.0.0.1", 0})))
    {}

    void push(AgentScript script)
    {
        const std::lock_guard lock(this->mutex);
        this->scripts.push_back(script);
    }
    proto::Attempt lastAttempt()
    {
        const std::lock_guard lock(this->mutex);
        return this->last;
    }

private:
    boost::asio::awaitable<void> serve(std::shared_ptr<FrameChannel> channel);
    boost::asio::awaitable<bool> onAttempt(FrameChannel &channel, proto::Frame frame);
    AgentScript nextScript(const proto::Attempt &attempt);
    boost::asio::awaitable<void> sendHeartbeats(FrameChannel &channel, proto::Frame reply);
    boost::asio::awaitable<void> sendForeignFrames(FrameChannel &channel, proto::Frame reply);
    boost::asio::awaitable<void> sendAnswer(FrameChannel &channel, proto::Frame attemptFrame,
                                            size_t from, size_t to);

    FrameServer server;
    std::mutex mutex;
    std::deque<AgentScript> scripts;
    proto::Attempt last;

public:
    const Address address;
    std::string answer = R"({"choices":[{"text":"matched pairs"}]})";
    std::atomic<int> attempts{0};
    std::atomic<int> resumes{0};
};

/// StatePort of a system with one model, one service, one adapter and two client accounts.
class FixedState : public StatePort
{
public:
    FixedState();

    std::shared_ptr<const Catalogue> catalogue() const override { return this->snapshot; }
    RouteSources routeSources() const override { return this->sources; }
    bool isFresh(Instant) const override { return this->fresh; }
    void noteHeadVersion(uint64_t) override {}
    void addDemand(const proto::Demand &demand) override { this->demand += demand.requests(); }
    void reportCrash(uint64_t digest, const std::string &, Instant) override
    {
        const std::lock_guard lock(this->mutex);
        ++this->crashes[digest];
    }
    uint32_t crashCount(uint64_t digest, Instant) const override
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->crashes.find(digest);
        return found == this->crashes.end() ? 0 : found->second;
    }

    void addAgent(const std::string &name, const Address &address);

    std::atomic<bool> fresh{true};
    mutable std::mutex mutex;
    std::map<uint64_t, uint32_t> crashes;
    std::atomic<uint32_t> demand{0};

private:
    std::shared_ptr<const Catalogue> snapshot;
    RouteSources sources;
};

/// ClaimPort that keeps the claims in memory, with the rules of a claim shard's owner.
class MemoryClaims : public ClaimPort
{
public:
    boost::asio::awaitable<proto::ClaimReply> begin(std::string clientAccount, std::string key,
                                                    uint64_t bodyDigest, std::string claimId,
                                                    Instant deadline) override;
    boost::asio::awaitable<void> finish(std::string clientAccount, std::string key,
                                        std::string claimId, int status, std::string contentType,
                                        std::string answer) override;
    boost::asio::awaitable<void> release(std::string clientAccount, std::string key,
                                         std::string claimId) override;

    std::atomic<bool> available{true};
    /// If set, all claims are held by another request that never finishes.
    std::atomic<bool> heldByOtherRequest{false};
    /// While set, calls for claims get no reply.
    std::atomic<bool> unresponsive{false};
    std::atomic<int> beginCount{0};
    std::atomic<int> releaseCount{0};
    std::atomic<int> finishCount{0};

private:
    std::mutex mutex;
    std::map<std::string, proto::ClaimRecord> records;
};

/// Entry server with its scripted dependencies and a client, run by two threads.
class EntryFixture
{
public:
    explicit EntryFixture(EntryOptions options = {});
    ~EntryFixture();

    /// Sends a request and waits for the complete answer.
    Result<HttpResponse> call(std::string method, std::string target, std::string body = {},
                              HttpHeaders headers = {});
    /// Requests a completion from the model with a valid credential and an optional idempotency
    /// key.
    Result<HttpResponse> complete(bool stream = false, const std::string &key = {},
                                  const std::string &prompt = "pair these");
    uint64_t counter(const std::string &name) { return this->metrics.counter(name).get(); }

    boost::asio::io_context context;
    Metrics metrics;
    FixedState state;
    MemoryClaims claims;
    ScriptedAgent first;
    ScriptedAgent second;
    EntryServer server;
    HttpClient client;
    Address address;

private:
    std::vector<std::thread> threads;
};

/// Returns the field "ran" of an error answer.
std::string ranOf(const HttpResponse &response);

} // namespace tray::test
