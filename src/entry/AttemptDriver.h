// Runs the state machine of an attempt: opens data channels, sends its frames and feeds it those
// that are received.
#pragma once

#include "entry/AnswerSink.h"
#include "entry/ChannelPool.h"
#include "entry/EntryMetrics.h"
#include "entry/EntryPorts.h"
#include "routing/AttemptMachine.h"

namespace tray {

/// Parameters of one attempt, and what remains of it after its end.
struct AttemptJob
{
    /// Complete frame with an Attempt body.
    proto::Frame frame;
    Address address;
    /// Epoch of the agent, taken from its status.
    uint64_t agentEpoch = 0;
    std::shared_ptr<UpstreamView> view;
    /// The attempt is cancelled at this time.
    Instant timeoutAt{};
    /// May be set at any time: the process shuts down, and the attempt is cancelled.
    bool shuttingDown = false;
    /// Channel to the agent if it can be reused after the attempt; AttemptDriver::release() returns
    /// it to the pool.
    std::unique_ptr<FrameChannel> channel;
    uint64_t answerBytes = 0;
};

/// Runs attempts. All requests of a process share one driver.
class AttemptDriver
{
public:
    /// Time without a frame after which a connection counts as lost, also the timeout of connecting
    /// and sending. Agents send heartbeats every 250 ms.
    static constexpr Duration HeartbeatTimeout = milliseconds(750);
    /// Received bytes after which an acknowledgement is sent, so that the agent can discard the
    /// part of the answer that has arrived.
    static constexpr uint64_t AcknowledgeIntervalBytes = 256 * 1024;

    AttemptDriver(ChannelPool &pool, StatePort &state, EntryMetrics &metrics)
        : pool(pool), state(state), metrics(metrics)
    {}

    /// Runs an attempt until it ends. The job and the sink must outlive the call.
    boost::asio::awaitable<AttemptVerdict> run(AttemptJob &job, AnswerSink &sink);
    /// Acknowledges the received answer and returns its channel to the pool. Does nothing if the
    /// job has no channel.
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
