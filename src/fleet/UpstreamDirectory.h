// Keeps the upstreams that may receive requests, from a list that can fail and lose entries.
#pragma once

#include "fleet/Upstream.h"

#include <deque>
#include <map>

namespace tray {

/// One change of the instance list.
struct UpstreamChange
{
    bool removed = false;
    /// If the entry was removed, only the id is sure to be set; the service and the version are
    /// those of the last entry if they are known.
    UpstreamEntry entry;
};

/// Change of an upstream as its users see it. Missing: it is no longer listed, but it may be listed
/// again and stays in use.
enum class UpstreamEvent : uint8_t { Added, Updated, Restarted, Draining, Missing, Removed };

template <>
struct EnumNames<UpstreamEvent>
{
    static constexpr auto Table = std::to_array<EnumName<UpstreamEvent>>({
        {UpstreamEvent::Added, "added"},
        {UpstreamEvent::Updated, "updated"},
        {UpstreamEvent::Restarted, "reborn"},
        {UpstreamEvent::Draining, "draining"},
        {UpstreamEvent::Missing, "lapsed"},
        {UpstreamEvent::Removed, "gone"},
    });
};

struct UpstreamNotice
{
    UpstreamEvent event;
    std::string id;
};

/// Applies the changes of the instance list. If an entry vanishes while the store is failing, the
/// upstream may still be running: it stays in use until the store has been back for long enough to
/// list it again.
class UpstreamDirectory
{
public:
    /// Time after the store's return within which running upstreams are listed again.
    static constexpr Duration RelistGracePeriod = milliseconds(2300);
    /// Time after the store was restored within which the entries of ended upstreams lapse: several
    /// heartbeats of an upstream.
    static constexpr Duration LapseTime = std::chrono::seconds(6);
    /// Time for which ended upstreams are remembered; longer than any copy is old.
    static constexpr Duration EndedMemory = std::chrono::seconds(60);

    using Notices = std::vector<UpstreamNotice>;

    /// Time for which the store's answers are remembered; longer than any call lasts.
    static constexpr Duration AnswerMemory = std::chrono::seconds(30);

    /// Records that a call to the store that began at the given time was not answered, or refused.
    /// Returns false if that is no news: the store has answered since the call began. An outage in
    /// between was over by the first of these answers.
    bool noteStoreFailure(Instant calledAt);
    /// Records that a call that began at calledAt was cut off or refused before its answer was
    /// overdue. A single call may fail so although the store works, so this counts as a failure of
    /// the store only if a call that began later fails, too, before the store answers. Returns
    /// whether it counts.
    bool noteEarlyFailure(Instant calledAt, Instant now);
    /// Records that the answer to a call that began at calledAt is overdue. A single call may hang
    /// on its connection, or the store may have worked again long since, so this counts as a
    /// failure of the store only if a call that began later fails, too, before the store answers.
    /// Returns whether it counts.
    bool noteOverdueAnswer(Instant calledAt, Instant now);
    /// Records that the store answered. Call this before the content of the answer is applied.
    void noteStoreAnswer(Instant now);
    /// Records that the store has been restored from an older copy, before a list of it is applied.
    /// Upstreams that wrote their entries since the copy are missing in it until they write them
    /// again, and upstreams that have ended since are listed until their entries lapse.
    void noteStoreRestored(Instant now);
    /// Replaces all entries by a complete list.
    Notices replaceAll(const std::vector<UpstreamEntry> &entries, Instant now);
    /// Applies one change of the list.
    Notices apply(const UpstreamChange &change, Instant now);
    /// Removes the missing entries whose grace period has ended, and uses returned entries that are
    /// still listed after the time in which those of ended upstreams lapse.
    Notices removeExpired(Instant now);

    /// Whether a call has failed and no other one has shown yet whether the store works.
    bool isStoreInDoubt() const { return this->inDoubtSince.has_value(); }

    /// Whether an entry that vanishes now may be listed again.
    bool isListUnreliable(Instant now) const;
    /// Time for which the list stays unreliable, if the store works from now on.
    Duration unreliableTimeLeft(Instant now) const;
    /// Records that the list that a peer reads is unreliable for this time from now on.
    void notePeerUnreliable(Duration left, Instant now);

    const std::map<std::string, UpstreamEntry> &entries() const { return this->current; }

private:
    /// Time of the first answer of the store after the call began; empty if there was none.
    std::optional<Instant> firstAnswerAfter(Instant calledAt) const;

    /// An incarnation that was removed from the list.
    struct Ended
    {
        uint64_t startedAtMs = 0;
        Instant at{};
    };

    Notices remove(const std::string &id, Instant now);
    /// Whether a list of the restored store may show an upstream as it was before its end, or an
    /// incarnation before the known one.
    bool isReturnFromCopy(const UpstreamEntry &entry, Instant now) const;
    void erase(const std::string &id, Instant now);

    std::map<std::string, UpstreamEntry> current;
    // Entries that vanished while the list was unreliable, with the time at which they are removed.
    // Invariant: each key is also a key of current.
    std::map<std::string, Instant> missingEntries;
    bool storeFailing = false;
    // Time of the first early failure or overdue answer since the store's last answer. Not set
    // while the store is failing.
    std::optional<Instant> inDoubtSince;
    // Time of the store's return after its last failure; not set if it never failed.
    std::optional<Instant> storeReturnedAt;
    // Times of the store's recent answers, the oldest first.
    std::deque<Instant> answeredAt;
    std::optional<Instant> storeRestoredAt;
    std::map<std::string, Ended> ended;
    // Entries of ended upstreams that the restored store lists. Invariant: no key of current.
    std::map<std::string, UpstreamEntry> returnedEntries;
};

} // namespace tray
