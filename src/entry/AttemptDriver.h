// Drives the state machine of an attempt over data channels.
#pragma once

#include "entry/AnswerSink.h"
#include "entry/ChannelPool.h"
#include "entry/EntryMetrics.h"
#include "entry/EntryPorts.h"
#include "routing/AttemptMachine.h"

namespace tray {

/// One attempt to run.
struct AttemptJob
{
    /// Complete frame with an Attempt body.
    proto::Frame frame;
    Address address;
    /// Epoch of the agent, from its status.
    uint64_t agentEpoch = 0;
    std::shared_ptr<UpstreamView> view;
    /// The attempt is given up at this time.
    Instant limit{};
    /// Set at any time: the process stops, and the attempt is given up.
    bool stopped = false;
    /// Channel that brought the whole answer; give it to AttemptDriver::release().
    std::unique_ptr<FrameChannel> channel;
    uint64_t answerBytes = 0;
};

/// Runs attempts. One driver serves all requests of a process.
class AttemptDriver
{
public:
    /// Longest silence of a connection; agents send heartbeats every 250 ms.
    static constexpr Duration Silence = milliseconds(750);
    /// Bytes after which the agent is told that it may forget what was received.
    static constexpr uint64_t AcknowledgeBytes = 256 * 1024;

    AttemptDriver(ChannelPool &pool, StatePort &state, EntryMetrics &metrics)
        : pool(pool), state(state), metrics(metrics)
    {}

    /// Runs an attempt to its end. Job and sink must outlive the call.
    boost::asio::awaitable<AttemptOutcome> run(AttemptJob &job, AnswerSink &sink);
    /// Acknowledges a whole answer and gives its channel back to the pool.
    boost::asio::awaitable<void> release(AttemptJob &job);

private:
    struct Progress;

    boost::asio::awaitable<AttemptStep> dial(AttemptJob &job, Progress &progress);
    boost::asio::awaitable<AttemptStep> sendResume(AttemptJob &job, Progress &progress);
    boost::asio::awaitable<AttemptStep> receive(AttemptJob &job, Progress &progress,
                                                AnswerSink &sink);
    boost::asio::awaitable<void> cancel(AttemptJob &job, Progress &progress);
    boost::asio::awaitable<void> acknowledge(AttemptJob &job, FrameChannel &channel,
                                             uint64_t offset);
    void noteUnreachable(const AttemptJob &job);
    void noteFrame(const AttemptJob &job, const proto::Frame &frame, Instant now);

    ChannelPool &pool;
    StatePort &state;
    EntryMetrics &metrics;
};

} // namespace tray
