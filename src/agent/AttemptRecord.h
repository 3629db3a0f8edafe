// One attempt at an agent: its stage, and the part of its answer that may have to be sent again.
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

/// Identity of an attempt.
struct AttemptId
{
    std::string requestId;
    uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

enum class AttemptStage : uint8_t { Arrived, Queued, Running, Refused, Failed, Ended };

/// State of an attempt. Used from one thread. An answer's bytes are kept from the first that is
/// neither acknowledged nor dropped because of the limit.
class AttemptRecord
{
public:
    /// Sent bytes that are kept for a resume, at most.
    static constexpr size_t TailLimit = 1u << 20;
    /// Bytes kept of an answer that no connection carries.
    static constexpr size_t DetachedLimit = 8u << 20;
    /// Bytes that wait to be sent before the upstream's answer is read on.
    static constexpr size_t UnsentLimit = 1u << 20;

    AttemptRecord(const boost::asio::any_io_executor &executor, AttemptId id,
                  proto::Attempt attempt, uint64_t headVersion, uint64_t ticket, Instant now);
    ~AttemptRecord();

    const AttemptId id;
    const proto::Attempt attempt;
    /// Head version that the sender had.
    const uint64_t headVersion;
    const uint64_t ticket;
    const Instant deadline;

    AttemptStage stage() const { return this->currentStage; }
    bool isFinal() const { return this->currentStage >= AttemptStage::Refused; }
    void setStage(AttemptStage stage);
    /// The attempt did not run and never will.
    void refuse(Error reason, Instant now);
    /// The attempt was dispatched and gave no whole answer.
    void fail(Error reason, bool engineLost, Instant now);
    void end(Instant now);
    const Error &reason() const { return this->failure; }
    bool isEngineLost() const { return this->engineLost; }
    Instant finalSince() const { return this->finalAt; }

    void setHead(proto::ResponseHead head);
    const std::optional<proto::ResponseHead> &head() const { return this->responseHead; }
    void append(const std::string &data);
    uint64_t totalBytes() const { return this->base + this->tail.size(); }
    /// Digest of the whole answer so far; equals hash64 of all its bytes.
    uint64_t digest() const;
    /// Bytes from an offset on, at most the given number. Fails with StreamBroken if they are no
    /// longer kept.
    Result<std::string> read(uint64_t offset, size_t most) const;
    void noteSent(uint64_t offset);
    void acknowledge(uint64_t offset);
    size_t unsentBytes() const { return this->totalBytes() - this->sent; }
    /// The final frame was written to a connection.
    void noteFinalSent() { this->finalSent = true; }
    bool isFinalSent() const { return this->finalSent; }
    bool isAcknowledged() const { return this->acknowledged; }

    /// Makes a connection the one that carries the attempt; returns its number.
    uint64_t attach();
    void detach(uint64_t connection, Instant now);
    bool isCarriedBy(uint64_t connection) const { return this->carrier == connection; }
    /// Time since which no connection carries the attempt.
    std::optional<Instant> detachedSince() const { return this->detachedAt; }

    /// Cancelled at each change, to wake those who wait on it.
    boost::asio::steady_timer changed;
    /// Ends the forwarding of a running attempt.
    boost::asio::cancellation_signal cancelForwarding;
    bool cancelRequested = false;
    /// What a running attempt fails with once its end was requested.
    Error endReason{ErrorKind::Cancelled, "the attempt was cancelled"};
    /// Bytes of KV cache reserved for the attempt.
    uint64_t kvBytes = 0;

private:
    void trim(uint64_t offset);

    struct Digest;
    AttemptStage currentStage = AttemptStage::Arrived;
    Error failure;
    bool engineLost = false;
    Instant finalAt;
    std::optional<proto::ResponseHead> responseHead;
    // Invariant: base <= sent <= base + tail.size().
    std::string tail;
    uint64_t base = 0;
    uint64_t sent = 0;
    bool acknowledged = false;
    bool finalSent = false;
    std::unique_ptr<Digest> streamDigest;
    uint64_t connections = 0;
    uint64_t carrier = 0;
    std::optional<Instant> detachedAt;
};

} // namespace tray
