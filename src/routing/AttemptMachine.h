// State machine of one attempt of a request at one upstream: takes the events of the data channel
// and returns the next step. After a broken or unresponsive connection it resumes on a new one.
#pragma once

#include "base/ErrorKind.h"
#include "routing/AnswerDigest.h"

#include "dataplane.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace tray {

/// Next action of the attempt's driver.
enum class AttemptStep : uint8_t {
    /// Open a new connection, then call onConnected() or onConnectFailed().
    Dial,
    /// Send the Attempt frame. Returned at most once by each machine.
    SendAttempt,
    /// Send a Resume frame whose offset is received().
    SendResume,
    /// Wait for the next frame.
    Receive,
    /// The attempt has ended; see outcome().
    Finish,
};

/// How an attempt ended.
enum class AttemptEnd : uint8_t {
    /// The complete answer arrived, and its length and digest are correct.
    Complete,
    /// The attempt was not executed and never will be.
    NotRun,
    /// The upstream's agent reported that the attempt failed.
    Failed,
    /// The agent became unreachable, or the answer is corrupt.
    Lost,
};

/// Result of an attempt.
struct AttemptVerdict
{
    AttemptEnd end = AttemptEnd::Lost;
    ErrorKind kind = ErrorKind::None;
    std::string message;
    int retryAfterMs = 0;
    /// The request may have been executed by the upstream.
    bool mayHaveRun = false;
    /// The engine died while it executed the attempt.
    bool engineLost = false;
    /// A new connection failed or was unresponsive, so the upstream is to be avoided for a time.
    bool unreachable = false;
};

/// One attempt. Not thread-safe.
class AttemptMachine
{
public:
    /// Consecutive resumes that may get no frame before the attempt counts as lost. One is enough
    /// if another upstream can be tried: 1.5 s after the last frame. Otherwise more are allowed,
    /// because the agent may only be paused.
    static constexpr unsigned MaxUnansweredResumesIfRetryable = 1;
    static constexpr unsigned MaxUnansweredResumes = 4;
    /// Resumes after gaps in the answer that are allowed before the attempt counts as lost.
    static constexpr unsigned MaxGaps = 3;

    /// agentEpoch is the epoch in the status of the agent to which the attempt is sent.
    AttemptMachine(std::string requestId, uint32_t attemptNumber, uint64_t agentEpoch,
                   bool idempotent);

    AttemptStep onConnected();
    /// A connection could not be opened.
    AttemptStep onConnectFailed();
    /// The connection broke, received no frame within the timeout, or could not send a frame.
    AttemptStep onChannelLost();
    /// The attempt timed out, or the caller closed its connection, or the instance stops.
    AttemptStep onCancelled(ErrorKind kind, std::string message);
    /// Moves the payload out of the frame. Drops and counts frames of other requests or attempts
    /// and frames whose bytes were already received.
    AttemptStep onFrame(proto::Frame &frame);
    /// A part of the answer was sent to the caller, so no other upstream can be tried.
    void onAnswerStarted() { this->maxUnansweredResumes = MaxUnansweredResumes; }

    /// Returns the head of the answer once after it arrived.
    std::optional<proto::ResponseHead> takeHead();
    /// Returns the bytes of the answer that arrived since the last call.
    std::string takeData();
    /// Number of bytes of the answer received so far.
    uint64_t received() const { return this->receivedBytes; }
    uint64_t droppedFrames() const { return this->droppedFrameCount; }
    unsigned resumes() const { return this->resumeCount; }
    bool isSent() const { return this->sent; }
    /// Result of the attempt; valid after Finish.
    const AttemptVerdict &outcome() const { return this->result; }

private:
    AttemptStep finish(AttemptEnd end, ErrorKind kind, std::string message);
    AttemptStep finishAsLost(std::string message);
    AttemptStep onData(proto::ResponseData &data);
    AttemptStep onEnd(const proto::ResponseEnd &end);
    AttemptStep onRefused(const proto::Refused &refused, uint64_t epoch);
    AttemptStep onFailed(const proto::Failed &failed);
    AttemptStep onGap();

    const std::string requestId;
    const uint32_t attemptNumber;
    const uint64_t agentEpoch;
    unsigned maxUnansweredResumes;
    // Invariant: never reset to false, so that the Attempt frame is sent at most once.
    bool sent = false;
    bool finished = false;
    // Digest and number of the answer's bytes received so far.
    AnswerDigest digest;
    uint64_t receivedBytes = 0;
    bool hasHead = false;
    // The agent confirmed that it received the attempt.
    bool isAcknowledged = false;
    std::optional<proto::ResponseHead> head;
    std::string data;
    unsigned unansweredResumes = 0;
    unsigned gaps = 0;
    unsigned resumeCount = 0;
    uint64_t droppedFrameCount = 0;
    AttemptVerdict result;
};

} // namespace tray
