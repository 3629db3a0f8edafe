// Transitions of the attempt state machine.
#include "routing/AttemptMachine.h"

#include "base/HttpStatus.h"

#include <cassert>

namespace tray {

namespace {

ErrorKind toErrorKind(uint32_t number)
{
    const auto kind = static_cast<ErrorKind>(number);
    // errorAnswer() maps numbers that this version does not know to Internal.
    return errorAnswer(kind).kind == ErrorKind::None ? ErrorKind::Internal : errorAnswer(kind).kind;
}

} // namespace

AttemptMachine::AttemptMachine(std::string requestId, uint32_t attemptNumber, uint64_t agentEpoch,
                               bool idempotent)
    : requestId(std::move(requestId)), attemptNumber(attemptNumber), agentEpoch(agentEpoch),
      maxUnansweredResumes(idempotent ? MaxUnansweredResumesIfRetryable : MaxUnansweredResumes)
{}

AttemptStep AttemptMachine::finish(AttemptEnd end, ErrorKind kind, std::string message)
{
    this->finished = true;
    this->result.end = end;
    this->result.kind = kind;
    this->result.message = std::move(message);
    return AttemptStep::Finish;
}

AttemptStep AttemptMachine::finishAsLost(std::string message)
{
    this->result.mayHaveRun = this->sent;
    return this->finish(AttemptEnd::Lost, ErrorKind::StreamBroken, std::move(message));
}

AttemptStep AttemptMachine::onConnected()
{
    assert(!this->finished);
    if (!this->sent) {
        this->sent = true;
        return AttemptStep::SendAttempt;
    }
    ++this->resumeCount;
    ++this->unansweredResumes;
    return AttemptStep::SendResume;
}

AttemptStep AttemptMachine::onConnectFailed()
{
    assert(!this->finished);
    this->result.unreachable = true;
    if (!this->sent)
        return this->finish(AttemptEnd::NotRun, ErrorKind::UpstreamUnreachable,
                            "the upstream cannot be reached");
    return this->finishAsLost("the upstream cannot be reached any more");
}

AttemptStep AttemptMachine::onChannelLost()
{
    assert(!this->finished);
    if (this->unansweredResumes < this->maxUnansweredResumes)
        return AttemptStep::Dial;
    this->result.unreachable = true;
    return this->finishAsLost("the upstream is silent on fresh connections");
}

AttemptStep AttemptMachine::onCancelled(ErrorKind kind, std::string message)
{
    assert(!this->finished);
    this->result.mayHaveRun = this->sent;
    return this->finish(this->sent ? AttemptEnd::Lost : AttemptEnd::NotRun, kind,
                        std::move(message));
}

AttemptStep AttemptMachine::onGap()
{
    if (++this->gaps <= MaxGaps)
        return AttemptStep::Dial;
    return this->finishAsLost("the answer has gaps");
}

AttemptStep AttemptMachine::onFrame(proto::Frame &frame)
{
    assert(!this->finished);
    if (!this->sent || frame.request_id() != this->requestId ||
        frame.attempt_number() != this->attemptNumber) {
        ++this->droppedFrameCount;
        return AttemptStep::Receive;
    }
    this->unansweredResumes = 0;
    switch (frame.body_case()) {
    case proto::Frame::kAdmitted:
    case proto::Frame::kHeartbeat:
        this->isAcknowledged = true;
        return AttemptStep::Receive;
    case proto::Frame::kRefused:
        return this->onRefused(frame.refused(), frame.epoch());
    case proto::Frame::kHead:
        if (!this->hasHead) {
            if (httpStatusKind(frame.head().status()) != HttpStatusKind::Final)
                return this->finishAsLost("the answer has no valid status");
            this->hasHead = true;
            this->head = std::move(*frame.mutable_head());
        }
        return AttemptStep::Receive;
    case proto::Frame::kData:
        return this->onData(*frame.mutable_data());
    case proto::Frame::kEnd:
        return this->onEnd(frame.end());
    case proto::Frame::kFailed:
        return this->onFailed(frame.failed());
    default:
        ++this->droppedFrameCount;
        return AttemptStep::Receive;
    }
}

AttemptStep AttemptMachine::onData(proto::ResponseData &frame)
{
    if (!this->hasHead || frame.offset() > this->receivedBytes)
        return this->onGap();
    const uint64_t overlap = this->receivedBytes - frame.offset();
    if (overlap >= frame.data().size()) {
        ++this->droppedFrameCount;
        return AttemptStep::Receive;
    }
    if (overlap > 0)
        frame.mutable_data()->erase(0, overlap);
    this->digest.add(frame.data());
    this->receivedBytes += frame.data().size();
    if (this->data.empty())
        this->data = std::move(*frame.mutable_data());
    else
        this->data += frame.data();
    return AttemptStep::Receive;
}

AttemptStep AttemptMachine::onEnd(const proto::ResponseEnd &end)
{
    if (!this->hasHead || end.total_bytes() > this->receivedBytes)
        return this->onGap();
    if (end.total_bytes() < this->receivedBytes || end.digest() != this->digest.value())
        return this->finishAsLost("the answer is damaged");
    this->result.mayHaveRun = true;
    return this->finish(AttemptEnd::Complete, ErrorKind::None, {});
}

AttemptStep AttemptMachine::onRefused(const proto::Refused &refused, uint64_t epoch)
{
    this->result.retryAfterMs = static_cast<int>(refused.retry_after_ms());
    const auto kind = toErrorKind(refused.error_kind());
    // A part of the answer proves that the attempt was executed, despite the refusal.
    if (this->hasHead)
        return this->finishAsLost("the attempt was refused after its answer had begun");
    // The agent that received the attempt knows it. A restarted agent reports it as never seen,
    // although its predecessor may have executed it.
    if (kind == ErrorKind::NeverSeen && (this->isAcknowledged || epoch != this->agentEpoch))
        return this->finishAsLost("the agent was restarted after the attempt was sent");
    return this->finish(AttemptEnd::NotRun, kind, refused.message());
}

AttemptStep AttemptMachine::onFailed(const proto::Failed &failed)
{
    this->result.mayHaveRun = failed.may_have_run() || this->hasHead || failed.engine_lost();
    this->result.engineLost = failed.engine_lost();
    return this->finish(AttemptEnd::Failed, toErrorKind(failed.error_kind()), failed.message());
}

std::optional<proto::ResponseHead> AttemptMachine::takeHead()
{
    return std::exchange(this->head, std::nullopt);
}

std::string AttemptMachine::takeData()
{
    return std::exchange(this->data, {});
}

} // namespace tray
