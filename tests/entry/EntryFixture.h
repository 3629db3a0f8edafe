// An entry server over loopback with scripted agents, claims and state in place of the real ones.
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

/// What a scripted agent does with the next attempt it gets.
struct AgentScript
{
    enum class Kind : uint8_t {
        /// Whole answer.
        Answer,
        /// Refuses with the kind in error.
        Refuse,
        /// Fails with engineLost.
        LoseEngine,
        /// Sends half of the answer, then nothing; the rest after a Resume.
        FallSilent,
        /// Takes the attempt and closes the connection; a Resume is not answered either.
        Vanish,
        /// Sends half of the answer and then closes; a Resume fails.
        CutAnswer,
        /// Sends frames of another request and a late one before the answer.
        CrossFrames,
        /// Whole answer after a pause with heartbeats.
        AnswerLate,
        /// Nothing but heartbeats, for as long as the channel is open.
        Hold,
        /// Half of the answer, then heartbeats for as long as the channel is open.
        HoldHalf,
    };
    Kind kind = Kind::Answer;
    ErrorKind error = ErrorKind::Overloaded;
};

/// Speaks the data channel. Scripts are used up in order; without one, attempts are answered.
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
    boost::asio::awaitable<void> hold(FrameChannel &channel, proto::Frame like);
    boost::asio::awaitable<void> sendStrangers(FrameChannel &channel, proto::Frame like);
    boost::asio::awaitable<void> sendAnswer(FrameChannel &channel, proto::Frame like, size_t from,
                                            size_t to);

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

/// State of a system with one model, one service, one adapter and two client accounts.
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
    uint32_t crashesOf(uint64_t digest, Instant) const override
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

/// Claims in memory, with the rules of the claim owner.
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
    /// Every claim is held by a request that never finishes.
    std::atomic<bool> heldElsewhere{false};
    /// Claims are not answered while this is set.
    std::atomic<bool> silent{false};
    std::atomic<int> begun{0};
    std::atomic<int> released{0};
    std::atomic<int> finished{0};

private:
    std::mutex mutex;
    std::map<std::string, proto::ClaimRecord> records;
};

/// Everything together, on two threads.
class EntryFixture
{
public:
    explicit EntryFixture(EntryOptions options = {});
    ~EntryFixture();

    /// Sends a request and waits for the whole answer.
    Result<HttpResponse> call(std::string method, std::string target, std::string body = {},
                              HttpHeaders headers = {});
    /// Calls the model with a bearer credential and optional idempotency key.
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

/// The value of "ran" in an error answer.
std::string ranOf(const HttpResponse &response);

} // namespace tray::test
