// Shares one reading of the instance list among the entry instances of a data centre.
//
// The load that it answers: hundreds of engines change their entries all the time, and each look at
// the list by each of a hundred entry instances is a call to the store. One instance of a data
// centre, its reader, watches the list and passes the changes on; the others read only if they miss
// something or hear no reader. Several readers at once cost calls, nothing else.
#pragma once

#include "fleet/UpstreamDirectory.h"

#include "fleet.pb.h"

#include <algorithm>
#include <map>
#include <set>

namespace tray {

/// One instance's part in it: events in, what to do out. Not bound to a clock or a socket.
class ListRelay
{
public:
    /// Time between two words of a reader that has nothing new to tell.
    static constexpr Duration HeartbeatPeriod = milliseconds(300);
    /// A reader that is silent for this long is replaced: three words were lost, or it is gone.
    static constexpr Duration ReaderTimeout = milliseconds(1000);
    /// The others differ by up to this in their patience, so that few take over at once.
    static constexpr Duration TakeoverJitter = milliseconds(400);
    /// Additional patience of instances that can spare little processor time.
    static constexpr Duration WeakDelay = milliseconds(300);
    /// A reader whose last answer is older than this says nothing: its watch may hang.
    static constexpr Duration AnswerLifetime = milliseconds(3200);
    /// Changes of one word, in bytes; with its head it stays below a datagram's limit.
    static constexpr size_t MaxChangeBytes = 12000;

    ListRelay(const std::string &instance, double processorShare);

    /// This instance is to read the list from the store, as the reader or to catch up.
    bool shouldReadStore(Instant now);
    /// It reads for the others.
    bool isReader() const { return this->reader; }
    /// Store revision up to which the list is known; 0 if it is to be read as a whole.
    uint64_t revision() const { return this->knownRevision; }
    /// Highest revision of which at least a part is known.
    uint64_t highestSeenRevision() const
    {
        return std::max(this->knownRevision, this->parts.revision);
    }

    /// What the store told up to a revision is older than what was heard from a reader meanwhile,
    /// and must not be taken over.
    bool isOutdated(uint64_t revision) const { return revision < this->highestSeenRevision(); }
    /// The store told all changes up to a revision. Returns the words for the others, if any.
    std::vector<proto::ListWord>
    handleStoreChanges(uint64_t revision, const std::vector<UpstreamChange> &changes, Instant now);
    /// The whole list was read.
    void handleFullRead(uint64_t revision, Instant now);
    /// The store's history from the known revision on is gone.
    void resetRevision() { this->knownRevision = 0; }
    /// The store failed. Returns the word with which a reader resigns.
    std::optional<proto::ListWord> handleStoreFailure(Instant now);
    /// The word that is due now if there is nothing new.
    std::optional<proto::ListWord> heartbeatDue(Instant now);

    /// A word of another instance of the data centre. Returns the changes to take over.
    std::vector<UpstreamChange> handleUpdate(const proto::ListWord &word, Instant now);

private:
    bool isBelievable(const proto::ListWord &word) const;

    const uint64_t rank;
    const Duration patience;
    // Time from which on the patience with silent readers counts.
    Instant heardAt{};
    bool reader = false;
    // A reader knows more than this instance.
    bool behind = false;
    uint64_t knownRevision = 0;
    // Nothing has changed since this revision. Invariant: not above knownRevision.
    uint64_t quietSince = 0;
    Instant answeredAt{};
    Instant toldAt{};
    // The newest word of which a part was taken over, and the parts of it that came. Readers cut
    // their words at different places, so only parts of the same word make it whole.
    struct Parts
    {
        uint64_t rank = 0;
        uint64_t from = 0;
        uint64_t revision = 0;
        std::set<uint32_t> seen;
    } parts;
};

} // namespace tray
