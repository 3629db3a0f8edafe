// All attempts that an agent knows, and the identities that it must never run.
#pragma once

#include "agent/AttemptRecord.h"

#include <deque>
#include <functional>
#include <map>

namespace tray {

/// Finds attempts by identity. The first Attempt frame for an identity makes the record; an
/// identity that was fenced or has ended never gets a second one. Used from one thread.
class AttemptTable
{
public:
    using Record = std::shared_ptr<AttemptRecord>;

    /// A record is kept for a resume this long after its end.
    static constexpr auto KeepEnded = std::chrono::seconds(15);
    /// An identity is remembered this long after its record is gone, so that an Attempt frame which
    /// was held up in a silent connection cannot run the request a second time.
    static constexpr auto KeepIdentity = std::chrono::minutes(2);
    /// Identities remembered at most.
    static constexpr size_t MostIdentities = 100000;

    explicit AttemptTable(boost::asio::any_io_executor executor) : executor(std::move(executor)) {}

    struct Lookup
    {
        /// Null if the identity is spent or was never seen.
        Record record;
        bool isNew = false;
        /// The attempt may have run, and its record is gone.
        bool mayHaveRun = false;
    };

    /// An Attempt frame has arrived.
    Lookup arrive(const AttemptId &id, proto::Attempt attempt, uint64_t headVersion, Instant now);
    /// The record to resume. An attempt that was never seen is fenced.
    Lookup resume(const AttemptId &id, Instant now);
    Record findTicket(uint64_t ticket) const;
    /// Drops records that have ended and been acknowledged, or kept for long enough.
    void sweep(Instant now);
    void forEach(const std::function<void(const Record &)> &visit) const;
    /// Attempts that have no final answer yet, or one that has not been sent.
    size_t open() const;

private:
    void spend(const AttemptId &id, bool mayHaveRun, Instant now);

    boost::asio::any_io_executor executor;
    uint64_t tickets = 0;
    std::map<AttemptId, Record> records;
    std::map<uint64_t, Record> byTicket;
    // Identities that must not run again, with whether they may have run, and when each may be
    // forgotten, oldest first.
    std::map<AttemptId, bool> spent;
    std::deque<std::pair<Instant, AttemptId>> spentOrder;
};

} // namespace tray
