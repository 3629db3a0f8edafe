// State machine of one attempt at one upstream: events of the data channel go in, the next step
// comes out. It survives silent and broken connections by resuming on a fresh one.
#pragma once

#include "base/ErrorKind.h"
#include "routing/AnswerDigest.h"

#include "dataplane.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace tray {

/// What the driver of an attempt does next.
enum class AttemptStep : uint8_t {
    /// Open a fresh connection and report onConnected() or onConnectFailed().
    Dial,
    /// Send the Attempt frame. Given at most once in the life of a machine.
    SendAttempt,
    /// Send a Resume frame with received() as its offset.
    SendResume,
    /// Wait for the next frame.
    Receive,
    /// The attempt has ended; see outcome().
    Finish,
};

/// How an attempt ended.
enum class AttemptEnd : uint8_t {
    /// The whole answer arrived and its length and digest are right.
    Whole,
    /// The attempt did not run and never will.
    NotRun,
    /// The upstream's agent said that the attempt failed.
    Failed,
    /// The agent cannot be reached any more, or the answer is damaged.
    Lost,
};

/// Result of an attempt.
struct AttemptOutcome
{
    AttemptEnd end = AttemptEnd::Lost;
    ErrorKind kind = ErrorKind::None;
    std::string message;
    int retryAfterMs = 0;
    /// The request may have been executed by the upstream.
    bool mayHaveRun = false;
    /// The engine died while it ran the attempt.
    bool engineLost = false;
    /// A fresh connection failed, so the upstream is suspected.
    bool unreachable = false;
};

/// One attempt. Not safe to use from several threads.
class AttemptMachine
{
public:
    /// Fresh connections in a row that may bring no frame before the attempt counts as lost. One
    /// is enough where another upstream can be tried: 1.5 s after the last frame. Without that
    /// choice it is worth to wait longer, for an agent that was only paused.
    static constexpr unsigned QuietResumesIfRepeatable = 1;
    static constexpr unsigned QuietResumesOtherwise = 4;
    /// Resumes after gaps in the answer before the attempt counts as lost.
    static constexpr unsigned MaxGaps = 3;

    /// agentEpoch is that of the agent the attempt is sent to, from its status.
    AttemptMachine(std::string requestId, uint32_t attemptNumber, uint64_t agentEpoch,
                   bool idempotent);

    AttemptStep onConnected();
    /// A connection could not be opened.
    AttemptStep onConnectFailed();
    /// The connection broke, went silent, or did not take a frame.
    AttemptStep onChannelLost();
    /// The time for the attempt is over, or the caller has gone.
    AttemptStep onGivenUp(ErrorKind kind, std::string message);
    /// Takes the payload out of the frame. Frames of other requests or attempts are dropped and
    /// counted, as are bytes that were already received.
    AttemptStep onFrame(proto::Frame &frame);
    /// A part of the answer is with the caller, so no other upstream can be tried any more.
    void onAnswerStarted() { this->maxQuietResumes = QuietResumesOtherwise; }

    /// Head of the answer, once.
    std::optional<proto::ResponseHead> takeHead();
    /// New bytes of the answer since the last call.
    std::string takeData();
    /// Bytes of the answer received so far.
    uint64_t received() const { return this->receivedBytes; }
    uint64_t droppedFrames() const { return this->dropped; }
    unsigned resumes() const { return this->resumeCount; }
    bool isSent() const { return this->sent; }
    /// Result; valid after Finish.
    const AttemptOutcome &outcome() const { return this->result; }

private:
    AttemptStep finish(AttemptEnd end, ErrorKind kind, std::string message);
    AttemptStep lose(std::string message);
    AttemptStep onData(proto::ResponseData &data);
    AttemptStep onEnd(const proto::ResponseEnd &end);
    AttemptStep onRefused(const proto::Refused &refused, uint64_t epoch);
    AttemptStep onFailed(const proto::Failed &failed);
    AttemptStep onGap();

    const std::string requestId;
    const uint32_t attemptNumber;
    const uint64_t agentEpoch;
    unsigned maxQuietResumes;
    // Invariant: never goes back to false, so that the Attempt frame is sent at most once.
    bool sent = false;
    bool finished = false;
    // The answer's bytes so far, as a running digest and a count.
    AnswerDigest digest;
    uint64_t receivedBytes = 0;
    bool hasHead = false;
    // The agent has shown that it knows the attempt.
    bool isKnown = false;
    std::optional<proto::ResponseHead> head;
    std::string data;
    unsigned quietResumes = 0;
    unsigned gaps = 0;
    unsigned resumeCount = 0;
    uint64_t dropped = 0;
    AttemptOutcome result;
};

} // namespace tray
