// Table of an agent's attempts, and of the attempt identities that it must never run again.
#pragma once

#include "agent/AttemptRecord.h"

#include <deque>
#include <functional>
#include <map>

namespace tray {

/// Finds attempts by identity. The first Attempt frame for an identity creates the record; an
/// identity that was fenced or has ended is blocked and never gets a second record. Not
/// thread-safe.
class AttemptTable
{
public:
    using Record = std::shared_ptr<AttemptRecord>;

    /// Time for which a record is kept for a resume after its end.
    static constexpr auto EndedRecordLifetime = std::chrono::seconds(15);
    /// Time for which an identity stays blocked after its record was removed, so that an Attempt
    /// frame that was delayed in a stalled connection cannot run the request a second time.
    static constexpr auto IdentityLifetime = std::chrono::minutes(2);
    /// Largest number of blocked identities.
    static constexpr size_t MaxIdentities = 100000;

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
    /// Returns the record to resume. An attempt that was never seen is fenced: its identity is
    /// blocked.
    Lookup findForResume(const AttemptId &id, Instant now);
    Record findTicket(uint64_t ticket) const;
    /// Removes records that have ended and were acknowledged or have reached their lifetime, and
    /// identities that need not be blocked any longer.
    void sweep(Instant now);
    void forEach(const std::function<void(const Record &)> &visit) const;
    /// Number of attempts that have no final answer yet, or one that has not been sent.
    size_t openCount() const;

private:
    void blockIdentity(const AttemptId &id, bool mayHaveRun, Instant now);

    boost::asio::any_io_executor executor;
    uint64_t lastTicket = 0;
    std::map<AttemptId, Record> records;
    std::map<uint64_t, Record> byTicket;
    // Identities that must not run again, with whether each may have run. The queue has the time at
    // which each is removed, oldest first.
    std::map<AttemptId, bool> blockedIds;
    std::deque<std::pair<Instant, AttemptId>> blockedOrder;
};

} // namespace tray
