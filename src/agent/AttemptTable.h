// Table of an agent's attempts, and of the attempt identities that are blocked from running
// again.
#pragma once

#include "agent/AttemptRecord.h"

#include <deque>
#include <functional>
#include <map>

namespace tray {

/// Finds attempts by identity. The first Attempt frame for an identity creates the record. An
/// identity whose record was removed, or that was to be resumed without having a record, is blocked
/// for BlockedIdentityLifetime and gets no second record in that time. Not thread-safe.
class AttemptTable
{
public:
    using Record = std::shared_ptr<AttemptRecord>;

    /// Time for which a record is kept after its attempt has ended, so that the attempt can be
    /// resumed.
    static constexpr auto EndedRecordLifetime = std::chrono::seconds(15);
    /// Time for which an identity stays blocked, from the removal of its record or from the resume
    /// that found none, so that an Attempt frame that was delayed in a stalled connection cannot
    /// run the request a second time.
    static constexpr auto BlockedIdentityLifetime = std::chrono::minutes(2);
    /// Maximum number of blocked identities; above it, the oldest are unblocked early.
    static constexpr size_t MaxBlockedIdentities = 100000;

    explicit AttemptTable(boost::asio::any_io_executor executor) : executor(std::move(executor)) {}

    struct Lookup
    {
        /// Null if the identity is blocked or was never seen.
        Record record;
        bool isNew = false;
        /// The attempt may have run, and its record was removed.
        bool mayHaveRun = false;
    };

    /// Returns the record for an Attempt frame; creates it unless the identity is known.
    Lookup registerAttempt(const AttemptId &id, proto::Attempt attempt, uint64_t headVersion,
                           Instant now);
    /// Returns the record to resume. The identity of an attempt that was never seen is blocked.
    Lookup findForResume(const AttemptId &id, Instant now);
    Record findByTicket(uint64_t ticket) const;
    /// Removes records that have ended and were acknowledged or have reached their lifetime, and
    /// identities that need not be blocked any longer.
    void sweep(Instant now);
    void forEach(const std::function<void(const Record &)> &visit) const;
    /// Number of attempts without a final answer, or whose final answer is still to be sent. An
    /// attempt with an unsent final answer does not count while its connection is detached.
    size_t openCount() const;

private:
    void blockIdentity(const AttemptId &id, bool mayHaveRun, Instant now);

    boost::asio::any_io_executor executor;
    uint64_t lastTicket = 0;
    std::map<AttemptId, Record> records;
    std::map<uint64_t, Record> byTicket;
    // Blocked identities; the value tells whether the attempt may have run. blockedOrder holds the
    // time at which each is unblocked, earliest first.
    std::map<AttemptId, bool> blockedIds;
    std::deque<std::pair<Instant, AttemptId>> blockedOrder;
};

} // namespace tray
