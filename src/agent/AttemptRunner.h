// Admits attempts, dispatches them to the upstream and collects their answers.
#pragma once

#include "admission/AdmissionQueue.h"
#include "agent/AttemptTable.h"
#include "agent/EngineController.h"
#include "edge/EnginePort.h"
#include "edge/ServicePort.h"
#include "observe/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace tray {

/// What the runner asks of the control part.
struct RunnerHooks
{
    std::function<uint64_t()> headVersion;
    /// Epoch of this agent, told to entry instances with each frame; 0 if left out.
    std::function<uint64_t()> epoch;
    std::function<void(uint64_t seen)> noteHeadVersion;
    std::function<boost::asio::awaitable<bool>(uint64_t wanted, Instant deadline)> awaitHeadVersion;
    /// The state of this process is fresh enough to take new work.
    std::function<bool()> takesWork;
    std::function<std::shared_ptr<const ItemSpecs>()> specs;
    /// The engine died while it ran a request with this digest.
    std::function<void(uint64_t contentDigest)> reportCrash;
};

/// The upstream of an agent: an engine with its controller, or a plain service.
struct UpstreamPorts
{
    EngineController *controller = nullptr;
    EnginePort *engine = nullptr;
    ServicePort *service = nullptr;
};

/// Runs on one thread.
class AttemptRunner
{
public:
    using Record = AttemptTable::Record;

    /// Longest wait for a head version that an attempt's sender had.
    static constexpr auto HeadVersionWait = std::chrono::seconds(2);
    /// Longest wait for the first byte of an answer, and for each next byte.
    static constexpr auto AnswerTimeout = std::chrono::minutes(5);
    /// Attempts without a connection are cancelled after this time, unless they must run to their
    /// end.
    static constexpr auto DetachedLimit = std::chrono::seconds(5);

    /// Time that the final frames of a stop may take, with a look at the engine.
    static constexpr Duration FinalFrameTime = std::chrono::seconds(2);

    AttemptRunner(boost::asio::io_context &context, AdmissionLimits limits, UpstreamPorts ports,
                  RunnerHooks hooks, Metrics &metrics);

    AttemptTable &table() { return this->attempts; }
    /// Starts to handle a new attempt.
    void accept(const Record &record);
    void cancel(const Record &record);
    /// Dispatches what may run now and refuses what cannot.
    void pump();
    /// Drops old records and cancels attempts whose entry is gone.
    void sweep();
    /// Refuses all new and queued work from now on, or takes work again.
    void setDraining(bool draining);
    bool isDraining() const { return this->draining; }
    /// Gives each attempt that has none its final answer, since the process ends: those that were
    /// dispatched may have run.
    void endOpen();
    /// Attempts that run or whose answer is still being sent.
    size_t open() const { return this->attempts.open(); }

    proto::Load load();
    std::vector<ItemDemand> demand() const;
    std::map<ItemKey, uint32_t> inUse() const;
    uint64_t headVersion() const { return this->hooks.headVersion(); }
    uint64_t epoch() const { return this->hooks.epoch ? this->hooks.epoch() : 0; }
    void noteHeadVersion(uint64_t seen) const { this->hooks.noteHeadVersion(seen); }

private:
    struct Outcome
    {
        bool whole = false;
        /// The request was not executed.
        bool notRun = false;
        Error reason;
    };

    boost::asio::awaitable<void> admit(Record record);
    boost::asio::awaitable<Outcome> forward(Record record);
    boost::asio::awaitable<Outcome> relay(Record record, std::unique_ptr<HttpStream> stream);
    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(HttpRequest request);
    boost::asio::awaitable<void> settle(Record record, Outcome outcome);
    boost::asio::awaitable<bool> isUpstreamDead(uint64_t restartsBefore);
    boost::asio::awaitable<void> stopAtEngine(Record record, uint64_t restartsBefore);
    std::optional<Error> checkAttempt(const Record &record) const;
    AdmissionWork workOf(const AttemptRecord &record) const;
    AdmissionResources resources();
    HttpRequest upstreamRequest(const AttemptRecord &record) const;
    void dispatch(const Record &record);
    void endSilent();
    void release(const Record &record);
    void refuse(const Record &record, Error reason);
    uint64_t kvMost() const;

    boost::asio::io_context &context;
    UpstreamPorts ports;
    RunnerHooks hooks;
    Metrics &metrics;
    AttemptTable attempts;
    AdmissionQueue queue;
    // KV cache of plain services is not counted.
    uint64_t loadSamples = 0;
    bool draining = false;
    // Items that each running attempt uses.
    std::map<uint64_t, std::vector<ItemKey>> itemsOf;
};

} // namespace tray
