// State of one attempt at an agent: its stage, and the part of its answer that is kept so that it
// can be sent again.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include "dataplane.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace tray {

struct AttemptId
{
    std::string requestId;
    uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

enum class AttemptStage : uint8_t { Arrived, Queued, Running, Refused, Failed, Ended };

/// State of an attempt. Not thread-safe. The bytes of the answer are kept from the first one that
/// is neither acknowledged nor dropped because of a limit.
class AttemptRecord
{
public:
    /// Largest number of sent bytes that are kept for a resume.
    static constexpr size_t MaxResumeBytes = 1u << 20;
    /// Largest number of bytes that are kept of an answer without a connection.
    static constexpr size_t MaxDetachedBytes = 8u << 20;
    /// Number of unsent bytes above which no more of the upstream's answer is read.
    static constexpr size_t MaxUnsentBytes = 1u << 20;

    AttemptRecord(const boost::asio::any_io_executor &executor, AttemptId id,
                  proto::Attempt attempt, uint64_t headVersion, uint64_t ticket, Instant now);
    ~AttemptRecord();

    const AttemptId id;
    const proto::Attempt attempt;
    /// Head version of the configuration at the sender.
    const uint64_t headVersion;
    const uint64_t ticket;
    const Instant deadline;

    AttemptStage stage() const { return this->currentStage; }
    bool isFinal() const { return this->currentStage >= AttemptStage::Refused; }
    void setStage(AttemptStage stage);
    /// Ends the attempt as refused: it did not run and never will.
    void refuse(Error reason, Instant now);
    /// Ends the attempt as failed: it was dispatched and has no complete answer.
    void fail(Error reason, bool engineLost, Instant now);
    void end(Instant now);
    const Error &reason() const { return this->failure; }
    bool isEngineLost() const { return this->engineLost; }
    Instant finalizedAt() const { return this->finalizedTime; }

    void setHead(proto::ResponseHead head);
    const std::optional<proto::ResponseHead> &head() const { return this->responseHead; }
    void append(const std::string &data);
    uint64_t totalBytes() const { return this->tailOffset + this->tail.size(); }
    /// Digest of the answer up to now; equals hash64 of all its bytes.
    uint64_t digest() const;
    /// Returns up to maxBytes bytes from an offset. Fails with StreamBroken if they are no longer
    /// kept.
    Result<std::string> read(uint64_t offset, size_t maxBytes) const;
    void noteSent(uint64_t offset);
    void acknowledge(uint64_t offset);
    size_t unsentBytes() const { return this->totalBytes() - this->sent; }
    /// Records that the final frame was written to a connection.
    void noteFinalSent() { this->finalSent = true; }
    bool isFinalSent() const { return this->finalSent; }
    bool isAcknowledged() const { return this->acknowledged; }

    /// Attaches a new connection, which replaces the attached one; returns its number.
    uint64_t attach();
    void detach(uint64_t connection, Instant now);
    bool isAttachedTo(uint64_t connection) const { return this->attachedConnection == connection; }
    /// Time since which no connection is attached to the attempt.
    std::optional<Instant> detachedSince() const { return this->detachedAt; }

    /// Cancelled at each change, to wake the coroutines that wait on it.
    boost::asio::steady_timer changed;
    /// Cancels the forwarding of a running attempt.
    boost::asio::cancellation_signal cancelForwarding;
    bool cancelRequested = false;
    /// Error with which a running attempt fails after cancelRequested was set.
    Error endReason{ErrorKind::Cancelled, "the attempt was cancelled"};
    /// KV cache that is reserved for the attempt, in bytes.
    uint64_t kvBytes = 0;

private:
    void trim(uint64_t offset);

    struct Digest;
    AttemptStage currentStage = AttemptStage::Arrived;
    Error failure;
    bool engineLost = false;
    Instant finalizedTime;
    std::optional<proto::ResponseHead> responseHead;
    // Invariant: base <= sent <= base + tail.size().
    std::string tail;
    uint64_t tailOffset = 0;
    uint64_t sent = 0;
    bool acknowledged = false;
    bool finalSent = false;
    std::unique_ptr<Digest> streamDigest;
    uint64_t connectionCount = 0;
    uint64_t attachedConnection = 0;
    std::optional<Instant> detachedAt;
};

} // namespace tray
