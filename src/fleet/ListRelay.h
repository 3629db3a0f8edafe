// Shares one reader of the instance list among the entry instances of a data centre, to limit the
// calls to the store: hundreds of engines change their entries continually, and each read of the
// list by each of about a hundred entry instances is one call. One instance of a data centre, its
// reader, watches the list and sends the changes to the others, which read only if they missed a
// change or receive no updates. Several concurrent readers do no harm except for additional calls.
#pragma once

#include "fleet/UpstreamDirectory.h"

#include "fleet.pb.h"

#include <algorithm>
#include <map>
#include <set>

namespace tray {

/// State machine of one instance. Does no I/O: events and times are arguments, and the caller does
/// the reads and sends.
class ListRelay
{
public:
    /// Time between two updates of a reader that has no changes to send.
    static constexpr Duration HeartbeatPeriod = milliseconds(300);
    /// Age of the newest store answer that a reader has reported, after which the reader is
    /// replaced: the store does not answer it, its updates are lost, or it has ended.
    static constexpr Duration ReaderTimeout = milliseconds(1600);
    /// The takeover timeouts of the non-readers are spread over this time, so that few of them take
    /// over concurrently.
    static constexpr Duration TakeoverJitter = milliseconds(400);
    /// Additional takeover timeout of instances with a low CPU share.
    static constexpr Duration LowCpuShareDelay = milliseconds(300);
    /// Time after a store answer until which the reader's next read may wait for changes.
    static constexpr Duration MaxReadWait = milliseconds(1000);
    /// Longest pause of a reader between a store answer and its next read.
    static constexpr Duration MaxReadPause = milliseconds(1100);
    /// A reader whose last answer from the store is older than this sends no updates, because its
    /// watch may hang.
    static constexpr Duration StoreAnswerLifetime = milliseconds(1100);
    /// A reader whose last answer from the store is older than this resigns, because the others may
    /// reach the store. Many times the store's usual response time above the pause and the wait.
    static constexpr Duration StoreAnswerOverdueTime = milliseconds(1900);
    /// Maximum time between two checks of what is due at an instance.
    static constexpr Duration CheckPeriod = milliseconds(50);
    /// Time within which all instances that the store answers must know a change, even if it
    /// answers the reader no more: the shortest time within which requests to a leaving engine must
    /// stop.
    static constexpr Duration MaxChangeDelay = milliseconds(3000);
    /// Time that is left of it for a slow read by the instance that takes over, and for instances
    /// that are late.
    static constexpr Duration TakeoverReadTime = milliseconds(600);
    static_assert(ReaderTimeout + TakeoverJitter + LowCpuShareDelay + 2 * CheckPeriod +
                      TakeoverReadTime <=
                  MaxChangeDelay);
    // A reader is not replaced if one update is lost.
    static_assert(MaxReadPause + HeartbeatPeriod + 2 * CheckPeriod < ReaderTimeout);
    /// Largest size of the changes in one update, in bytes; with its other fields an update stays
    /// below the size limit of a datagram.
    static constexpr size_t MaxChangeBytes = 12000;

    ListRelay(const std::string &instance, double cpuCores);

    /// Whether this instance is to read the list from the store, as the reader or to catch up.
    /// Makes it the reader if the takeover timeout is over.
    bool shouldReadStore(Instant now);
    /// Whether this instance reads for the others.
    bool isReader() const { return this->reader; }
    /// Time for which the reader's next read of the store may wait for changes.
    Duration readWait(Instant now) const;
    /// Store revision up to which the list is known; 0 if the complete list is to be read.
    uint64_t revision() const { return this->knownRevision; }
    /// Highest revision of which at least a part was received.
    uint64_t highestSeenRevision() const
    {
        return std::max(this->knownRevision, this->parts.revision);
    }

    /// Whether a store answer for this revision must be discarded because a reader's update with a
    /// higher revision has arrived.
    bool isOutdated(uint64_t revision) const { return revision < this->highestSeenRevision(); }
    /// Handles all changes up to a revision, read from the store. Returns the updates to send to
    /// the others, if any.
    std::vector<proto::ListWord>
    handleStoreChanges(uint64_t revision, const std::vector<UpstreamChange> &changes, Instant now);
    /// Handles a read of the complete list.
    void handleFullRead(uint64_t revision, Instant now);
    /// Call this if the store no longer has the history from the known revision on.
    void resetRevision() { this->knownRevision = 0; }
    /// Handles a failure of the store. Returns the update with which a reader gives up its role.
    std::optional<proto::ListWord> handleStoreFailure(Instant now);
    /// Returns the reader's heartbeat, an update without changes, if it is due, and counts it as
    /// sent. If an answer of the store is overdue, returns the update with which the reader gives
    /// up its role.
    std::optional<proto::ListWord> takeDueUpdate(Instant now);

    /// Time of the newest store answer to another reader of which this instance has all changes.
    Instant heardAnswerTime() const { return this->heardAnswerAt; }

    /// Handles an update from another instance of the data centre. Returns the changes to apply.
    std::vector<UpstreamChange> handleUpdate(const proto::ListWord &update, Instant now);

private:
    /// Ends the role of the reader and returns the update that says so.
    proto::ListWord resign(Instant now);
    bool isCurrent(const proto::ListWord &update) const;

    // Order in which instances become reader; the lowest first. Instances with a low CPU share come
    // last.
    const uint64_t rank;
    const Duration takeoverTimeout;
    // Time from which the takeover timeout runs: that of the newest store answer of a reader, or an
    // earlier or later time if this instance is to take over sooner or later than others.
    Instant readerAnsweredAt{};
    Instant heardAnswerAt{};
    bool reader = false;
    // Time at which this instance became the reader last.
    Instant readerSince{};
    // A reader knows of changes that this instance has missed.
    bool missedChanges = false;
    uint64_t knownRevision = 0;
    // Revision since which nothing has changed. Invariant: not above knownRevision.
    uint64_t lastChangeRevision = 0;
    Instant lastStoreAnswerAt{};
    Instant lastSentAt{};
    // The newest update of which a part was applied, and the received parts of it. Readers split
    // their updates at different places, so only parts of the same update complete it.
    struct Parts
    {
        uint64_t rank = 0;
        uint64_t from = 0;
        uint64_t revision = 0;
        std::set<uint32_t> seen;
    } parts;
};

} // namespace tray
