// State machine of one claim shard at its owner: collects claims and commits them in groups.
#pragma once

#include "base/Result.h"
#include "claims/ClaimAnswers.h"
#include "claims/ClaimHeadWrite.h"
#include "claims/ClaimQueue.h"
#include "claims/ClaimRules.h"
#include "claims/ClaimTable.h"
#include "claims/PeriodLoader.h"
#include "claims/SealedAnswers.h"
#include "claims/SealedPeriods.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Intervals and limits of a claim shard.
struct ClaimShardSettings
{
    /// Longest time for which a claim waits for others to be written with it.
    Duration maxCollectDelay = milliseconds(50);
    /// Mean time between two writes of any object of the shard. 16 shards at 100 ms stay below 160
    /// writes per second.
    Duration commitInterval = milliseconds(100);
    /// Time without calls after the platform was unavailable.
    Duration outageBackoff = milliseconds(250);
    /// Longest time since the head was last read or written within which a verdict that another
    /// owner may have changed is given without reading the head again.
    Duration maxConfirmationAge = std::chrono::seconds(1);
    uint64_t periodMs = 10000;
    uint64_t retentionMs = 600000;
    /// Largest answer that is stored inside a record, in bytes.
    size_t maxInlineAnswerBytes = 4096;
    /// Memory for larger answers, in bytes.
    size_t maxAnswerMemoryBytes = 64u << 20;
    /// A head above this size, in bytes, is sealed before its period ends. At 3,000 claims per
    /// second the owners write 39 MB per second with 500 KB, and 11 MB per second with 128 KB.
    size_t sealThresholdBytes = 128000;
    /// Largest head, in bytes; the object API refuses objects above 1 MB.
    size_t maxHeadBytes = 900000;
    /// New claims are refused while more than this waits for a commit, in bytes.
    size_t maxQueueBytes = 800000;
    /// Number of sealed periods that are read concurrently during a takeover.
    size_t maxParallelReads = 8;
};

/// An action that the owner of a shard must perform.
struct ClaimAction
{
    enum class Kind { Read, Write, Remove, Reply };

    Kind kind = Kind::Reply;
    /// Id of the call (Read, Write) whose result is passed back, or of the waiter (Reply).
    uint64_t id = 0;
    /// Object to read, write or remove.
    std::string key;
    std::string value;
    uint64_t expectedVersion = 0;
    proto::ClaimReply reply;
};

/// Owner's side of one claim shard. The head object is the only commit point: a claim is granted
/// only after a conditional update of the head that holds it. Does no I/O: time is an argument, and
/// calls to the object API are returned as actions whose results are passed back in.
class ClaimShard
{
public:
    using NonceSource = std::function<uint64_t()>;
    /// Value and version of an object.
    using ReadResult = SealedAnswers::ReadResult;

    ClaimShard(uint32_t shard, std::string owner, ClaimShardSettings settings, NonceSource nonces);

    /// Requests from entry instances. Each waiter gets exactly one reply action. A refused begin
    /// whose reply holds a record in state granted may still be granted by a write in flight; the
    /// entry instance must release it. A release is confirmed if its reply holds a record.
    void begin(const proto::ClaimBegin &begin, uint64_t waiter, Instant now, WallMs wall);
    void finish(const proto::ClaimFinish &finish, uint64_t waiter, Instant now, WallMs wall);
    void release(const proto::ClaimRelease &release, uint64_t waiter, Instant now, WallMs wall);
    /// Call this at the time that nextTimer() returned.
    void onTimer(Instant now, WallMs wall) { this->advance(now, wall); }
    /// Results of Read and Write calls, with the errors of ObjectApi.
    void onRead(uint64_t call, const ReadResult &result, Instant now, WallMs wall);
    void onWritten(uint64_t call, const Result<uint64_t> &result, Instant now, WallMs wall);

    /// Returns the actions since the last call of this function, in order.
    std::vector<ClaimAction> takeActions() { return std::exchange(this->actions, {}); }
    /// Time at which onTimer() is to be called, if any.
    std::optional<Instant> nextTimer() const { return this->timer; }
    /// Whether nothing waits for a commit and no call is in flight.
    bool isIdle() const;
    /// Number of committed records in memory.
    size_t recordCount() const { return this->table.size(); }

private:
    using Kind = ClaimOperationKind;
    using OperationPtr = ClaimOperationPtr;

    enum class Phase { HeadUnknown, ReadingHead, ReadingPeriods, Ready };
    enum class Writing { Nothing, Period, Head };

    void dropQueuedBegin(const proto::ClaimRelease &release);
    void requeue(ClaimHeadWrite write, bool mayBeWritten);
    void refuseWaiters();
    bool answerFromTable(const proto::ClaimBegin &begin, uint64_t waiter, Instant now, WallMs wall);
    bool joinPending(const proto::ClaimBegin &begin, uint64_t waiter);
    void replyAll(ClaimOperation &operation, const proto::ClaimReply &reply);
    void replyTo(uint64_t waiter, proto::ClaimReply reply);
    void sendReply(uint64_t waiter, proto::ClaimReply reply);

    void readHead();
    void onHeadRead(const ReadResult &result, Instant now, WallMs wall);
    void adoptHead(proto::ClaimShardHead head, uint64_t newVersion, Instant now);
    void readPeriods(Instant now);
    void onPeriodRead(uint64_t period, const ReadResult &result, Instant now);
    void completeTakeover(Instant now);

    void advance(Instant now, WallMs wall);
    bool isWriteDue(Instant now);
    bool isSealDue(WallMs wall) const;
    void writePeriod(Instant now);
    void writeHead(Instant now, WallMs wall);
    ClaimHeadWrite makeHead(WallMs wall);
    void fillHead(ClaimHeadWrite &write, WallMs wall);
    void onPeriodWritten(const Result<uint64_t> &result, Instant now);
    void onHeadWritten(const Result<uint64_t> &result, Instant now, WallMs wall);
    void onCommitted(ClaimHeadWrite write, uint64_t newVersion, Instant now, WallMs wall);
    void enterOutage(Instant now);
    void scheduleNextWrite(Instant now);
    std::string periodKey(uint64_t period) const
    {
        return this->headKey + "/" + std::to_string(period);
    }
    uint64_t startCall(ClaimAction::Kind kind, std::string key);

    const std::string headKey;
    const std::string owner;
    const ClaimShardSettings settings;
    const NonceSource nonces;

    Phase phase = Phase::HeadUnknown;
    // Whether the table reflects at least one complete head; it stays usable while a newer one is
    // read.
    bool loaded = false;
    // Time at which the head was last read or committed by this owner.
    Instant headConfirmedAt{};
    // Head as last read or committed, and its version; 0 while the object does not exist.
    proto::ClaimShardHead committed;
    uint64_t version = 0;
    ClaimTable table;
    ClaimAnswers answers;
    // Sealed periods whose records are in the table.
    SealedPeriods periods;

    ClaimQueue queue;

    Writing writing = Writing::Nothing;
    uint64_t writeCall = 0;
    ClaimHeadWrite headWrite;
    // Whether the outcome of headWrite is unknown; the head is read again to find out.
    bool headWriteUnresolved = false;
    // Version of the head whose records are sealed but still in the head.
    std::optional<uint64_t> sealedVersion;
    // Whether the outcome of the last write of a sealed period is unknown.
    bool sealOutcomeUnknown = false;

    SealedAnswers sealedAnswers;
    uint64_t headCall = 0;
    // Head whose sealed periods are being read, and the period that each call reads.
    proto::ClaimShardHead newHead;
    uint64_t newVersion = 0;
    PeriodLoader loader;
    std::map<uint64_t, uint64_t> periodCalls;

    uint64_t lastCall = 0;
    Instant nextWriteAt{};
    Instant outageUntil{};
    std::optional<Instant> timer;
    std::vector<ClaimAction> actions;
};

} // namespace tray
