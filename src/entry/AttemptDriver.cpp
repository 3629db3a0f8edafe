// Connects, sends and receives for one attempt, and reports reachability and load of its upstream.
#include "entry/AttemptDriver.h"

#include <boost/asio/this_coro.hpp>
#include <spdlog/spdlog.h>

namespace tray {

namespace {

namespace asio = boost::asio;

/// Makes a frame without a body for the same request and attempt as the given one.
proto::Frame makeEmptyFrame(const proto::Frame &frame)
{
    proto::Frame other;
    other.set_request_id(frame.request_id());
    other.set_attempt_number(frame.attempt_number());
    other.set_head_version(frame.head_version());
    return other;
}

AttemptStep cancelForShutdown(AttemptMachine &machine)
{
    return machine.onCancelled(machine.isSent() ? ErrorKind::OutcomeUnknown : ErrorKind::Draining,
                               "this instance stops");
}

const proto::Load *loadOf(const proto::Frame &frame)
{
    switch (frame.body_case()) {
    case proto::Frame::kAdmitted:
        return frame.admitted().has_load() ? &frame.admitted().load() : nullptr;
    case proto::Frame::kRefused:
        return frame.refused().has_load() ? &frame.refused().load() : nullptr;
    case proto::Frame::kEnd:
        return frame.end().has_load() ? &frame.end().load() : nullptr;
    case proto::Frame::kFailed:
        return frame.failed().has_load() ? &frame.failed().load() : nullptr;
    case proto::Frame::kHeartbeat:
        return frame.heartbeat().has_load() ? &frame.heartbeat().load() : nullptr;
    default:
        return nullptr;
    }
}

} // namespace

struct AttemptDriver::Progress
{
    AttemptMachine machine;
    std::unique_ptr<FrameChannel> channel;
    uint64_t acknowledgedBytes = 0;
};

asio::awaitable<AttemptVerdict> AttemptDriver::run(AttemptJob &job, AnswerSink &sink)
{
    Progress progress{AttemptMachine(job.frame.request_id(), job.frame.attempt_number(),
                                     job.agentEpoch, job.frame.attempt().idempotent()),
                      {}};
    auto &machine = progress.machine;
    const auto executor = co_await asio::this_coro::executor;
    progress.channel = this->pool.take(toString(job.address), executor, clockNow());
    AttemptStep step = progress.channel ? machine.onConnected() : AttemptStep::Dial;
    while (step != AttemptStep::Finish) {
        if (job.shuttingDown) {
            step = cancelForShutdown(machine);
            break;
        }
        if (clockNow() >= job.timeoutAt) {
            step = machine.onCancelled(ErrorKind::Timeout, "the answer did not arrive in time");
            break;
        }
        if (step == AttemptStep::Dial) {
            step = co_await this->dial(job, progress);
        } else if (step == AttemptStep::SendAttempt) {
            const auto sent = co_await progress.channel->send(job.frame, HeartbeatTimeout);
            step = isOk(sent) ? AttemptStep::Receive : machine.onChannelLost();
        } else if (step == AttemptStep::SendResume) {
            step = co_await this->sendResume(job, progress);
        } else {
            step = co_await this->receive(job, progress, sink);
        }
    }
    const auto &outcome = machine.outcome();
    if (outcome.unreachable)
        this->noteUnreachable(job);
    if (outcome.end == AttemptEnd::Lost && machine.isSent())
        co_await this->cancel(job, progress);
    this->metrics.resumes.add(machine.resumes());
    this->metrics.droppedFrames.add(machine.droppedFrames());
    job.answerBytes = machine.received();
    // After a lost attempt the channel may still deliver frames of it, so it is not reused.
    if (outcome.end != AttemptEnd::Lost)
        job.channel = std::move(progress.channel);
    co_return outcome;
}

asio::awaitable<AttemptStep> AttemptDriver::dial(AttemptJob &job, Progress &progress)
{
    progress.channel.reset();
    const auto executor = co_await asio::this_coro::executor;
    auto connected = co_await FrameChannel::connect(executor, job.address, HeartbeatTimeout);
    if (!isOk(connected))
        co_return progress.machine.onConnectFailed();
    progress.channel = std::move(value(connected));
    // Checked before the machine records the attempt as sent.
    if (job.shuttingDown)
        co_return cancelForShutdown(progress.machine);
    co_return progress.machine.onConnected();
}

asio::awaitable<AttemptStep> AttemptDriver::sendResume(AttemptJob &job, Progress &progress)
{
    auto frame = makeEmptyFrame(job.frame);
    frame.mutable_resume()->set_offset(progress.machine.received());
    const auto sent = co_await progress.channel->send(frame, HeartbeatTimeout);
    co_return isOk(sent) ? AttemptStep::Receive : progress.machine.onChannelLost();
}

asio::awaitable<AttemptStep> AttemptDriver::receive(AttemptJob &job, Progress &progress,
                                                    AnswerSink &sink)
{
    auto &machine = progress.machine;
    auto received = co_await progress.channel->receive(HeartbeatTimeout, job.timeoutAt);
    const auto now = clockNow();
    if (!isOk(received)) {
        if (now >= job.timeoutAt)
            co_return machine.onCancelled(ErrorKind::Timeout, "the answer did not arrive in time");
        co_return machine.onChannelLost();
    }
    auto &frame = value(received);
    const bool isData = frame.body_case() == proto::Frame::kData;
    if (!isData)
        this->noteFrame(job, frame, now);
    const bool isHeartbeat = frame.body_case() == proto::Frame::kHeartbeat;
    auto step = machine.onFrame(frame);
    bool isWanted = !(isHeartbeat && sink.isAbandoned());
    if (auto head = machine.takeHead(); head && isWanted) {
        proto::ResponseHead taken = std::move(*head);
        isWanted = co_await sink.onHead(std::move(taken));
    }
    if (auto data = machine.takeData(); !data.empty() && isWanted)
        isWanted = co_await sink.onData(std::move(data));
    if (sink.isStarted())
        machine.onAnswerStarted();
    if (!isWanted && step != AttemptStep::Finish)
        co_return machine.onCancelled(ErrorKind::Cancelled, "the caller has closed its connection");
    if (step == AttemptStep::Receive &&
        machine.received() - progress.acknowledgedBytes >= AcknowledgeIntervalBytes) {
        progress.acknowledgedBytes = machine.received();
        co_await this->acknowledge(job, *progress.channel, progress.acknowledgedBytes);
    }
    co_return step;
}

void AttemptDriver::noteUnreachable(const AttemptJob &job)
{
    if (job.view->noteUnreachable(clockNow()))
        spdlog::warn("event=upstream_suspected upstream={} address={}", job.view->name(),
                     toString(job.address));
}

void AttemptDriver::noteFrame(const AttemptJob &job, const proto::Frame &frame, Instant now)
{
    if (job.view->noteReachable())
        spdlog::info("event=upstream_reachable upstream={}", job.view->name());
    if (const auto *load = loadOf(frame))
        job.view->noteLoad(*load, now);
    if (frame.head_version() > job.frame.head_version())
        this->state.noteHeadVersion(frame.head_version());
}

asio::awaitable<void> AttemptDriver::acknowledge(AttemptJob &job, FrameChannel &channel,
                                                 uint64_t offset)
{
    auto frame = makeEmptyFrame(job.frame);
    frame.mutable_acknowledge()->set_offset(offset);
    co_await channel.send(frame, HeartbeatTimeout);
}

asio::awaitable<void> AttemptDriver::cancel(AttemptJob &job, Progress &progress)
{
    // An upstream that executes a non-idempotent request is left to complete it.
    if (!job.frame.attempt().idempotent() || !progress.channel)
        co_return;
    auto frame = makeEmptyFrame(job.frame);
    frame.mutable_cancel();
    co_await progress.channel->send(frame, HeartbeatTimeout);
}

asio::awaitable<void> AttemptDriver::release(AttemptJob &job)
{
    if (!job.channel)
        co_return;
    if (job.answerBytes > 0)
        co_await this->acknowledge(job, *job.channel, job.answerBytes);
    this->pool.put(toString(job.address), std::move(job.channel), clockNow());
}

} // namespace tray
