// Admits attempts, dispatches them to the upstream and records their answers.
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

/// Functions of the agent's control part that the runner calls.
struct RunnerHooks
{
    std::function<uint64_t()> headVersion;
    /// Epoch of this agent, sent to entry instances in each frame; 0 if the hook is not set.
    std::function<uint64_t()> epoch;
    std::function<void(uint64_t seen)> noteHeadVersion;
    std::function<boost::asio::awaitable<bool>(uint64_t wanted, Instant deadline)> awaitHeadVersion;
    /// Returns whether the state of this process is fresh enough to accept new work.
    std::function<bool()> acceptsWork;
    std::function<std::shared_ptr<const ItemRequirements>()> requirements;
    /// Reports that the engine crashed while it ran a request with this digest.
    std::function<void(uint64_t contentDigest)> reportCrash;
};

/// The upstream of an agent: an engine with its controller, or a plain service.
struct UpstreamPorts
{
    EngineController *controller = nullptr;
    EnginePort *engine = nullptr;
    ServicePort *service = nullptr;
};

/// Not thread-safe.
class AttemptRunner
{
public:
    using Record = AttemptTable::Record;

    /// Longest wait for the head version of an attempt's sender.
    static constexpr auto HeadVersionTimeout = std::chrono::seconds(2);
    /// Longest wait for the first byte of an answer, and for each further byte.
    static constexpr auto AnswerTimeout = std::chrono::minutes(5);
    /// Time after which an attempt without a connection is cancelled, unless it must run to its
    /// end.
    static constexpr auto DetachedTimeout = std::chrono::seconds(5);

    /// Time for writing the final frames during a stop, including the check whether the engine
    /// still answers.
    static constexpr Duration FinalFrameTimeout = std::chrono::seconds(2);

    AttemptRunner(boost::asio::io_context &context, AdmissionLimits limits, UpstreamPorts ports,
                  RunnerHooks hooks, Metrics &metrics);

    AttemptTable &table() { return this->attempts; }
    /// Starts the admission of a new attempt.
    void accept(const Record &record);
    void cancel(const Record &record);
    /// Dispatches the queued attempts that can run now and refuses those that cannot run.
    void processQueue();
    /// Removes old records and cancels attempts that have had no connection for too long.
    void sweep();
    /// Refuses all new and queued work from now on, or accepts work again.
    void setDraining(bool draining);
    bool isDraining() const { return this->draining; }
    /// Ends each attempt that has no final answer yet, because the process ends. Attempts that were
    /// dispatched may have run.
    void abortOpenAttempts();
    /// Number of attempts that run or whose answer is still being sent.
    size_t openCount() const { return this->attempts.openCount(); }

    proto::Load load();
    std::vector<ItemDemand> demand() const;
    std::map<ItemKey, uint32_t> inUse() const;
    uint64_t headVersion() const { return this->hooks.headVersion(); }
    uint64_t epoch() const { return this->hooks.epoch ? this->hooks.epoch() : 0; }
    void noteHeadVersion(uint64_t seen) const { this->hooks.noteHeadVersion(seen); }

private:
    struct Outcome
    {
        bool complete = false;
        /// The upstream has not executed the request.
        bool notExecuted = false;
        Error reason;
    };

    boost::asio::awaitable<void> admit(Record record);
    boost::asio::awaitable<Outcome> forward(Record record);
    boost::asio::awaitable<Outcome> relay(Record record, std::unique_ptr<HttpStream> stream);
    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> openUpstream(HttpRequest request);
    boost::asio::awaitable<void> finishAttempt(Record record, Outcome outcome);
    boost::asio::awaitable<bool> isUpstreamLost(uint64_t restartsBefore);
    boost::asio::awaitable<void> cancelAtEngine(Record record, uint64_t restartsBefore);
    std::optional<Error> checkAttempt(const Record &record) const;
    AdmissionWork workOf(const AttemptRecord &record) const;
    AdmissionResources resources();
    HttpRequest upstreamRequest(const AttemptRecord &record) const;
    void dispatch(const Record &record);
    void abortAtLostEngine();
    void releaseResources(const Record &record);
    void refuse(const Record &record, Error reason);
    uint64_t kvCapacityBytes() const;

    boost::asio::io_context &context;
    UpstreamPorts ports;
    RunnerHooks hooks;
    Metrics &metrics;
    AttemptTable attempts;
    AdmissionQueue queue;
    // KV cache of plain services is not counted.
    uint64_t loadSamples = 0;
    bool draining = false;
    // Items that each running attempt uses, by ticket.
    std::map<uint64_t, std::vector<ItemKey>> itemsByTicket;
};

} // namespace tray
