// Stores the status of all upstreams with a log of changes, so that neighbours in the relay tree
// exchange deltas.
#pragma once

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tray {

/// Keeps the newest status of each upstream. "Newest" is the highest of epoch, sequence and
/// liveness (a counter that markLost() and each correction of a lost mark raise by one), in this
/// order, so that late, repeated and reordered statuses change nothing. A status that is marked as
/// lost ("lost mark") says that the upstream's agent or engine does not answer.
class StatusTable
{
public:
    using Status = std::shared_ptr<const proto::UpstreamStatus>;

    /// Where a status was received from; Own for this process itself.
    enum class StatusSource { Own, Child, Parent };

    /// Stores a status from a neighbour, or this process's own with an empty origin. Returns true
    /// if it is newer. A child that repeats a known status becomes the upstream's reporting child.
    bool apply(const proto::UpstreamStatus &status, StatusSource source, const std::string &origin);
    /// Position of the last change in the change log.
    uint64_t position() const { return this->lastPosition; }
    /// Statuses changed after a position, without those that the given child reported itself.
    std::vector<Status> changedAfter(uint64_t position, const std::string &exceptChild) const;
    /// Statuses of this process and its children, and lost marks, that changed after a position. A
    /// parent receives all others by other paths, so a new parent is not sent the complete table.
    std::vector<Status> changedInSubtree(uint64_t position) const;
    /// Removes a child as the reporting child of all its upstreams. Returns their statuses that are
    /// not marked as lost.
    std::vector<Status> releaseChild(const std::string &child);
    /// Statuses that only a parent reports and that are not marked as lost. Without a parent, no
    /// process renews them.
    std::vector<Status> receivedFromParent() const;
    /// Child that reports the upstream as reachable; empty if there is none.
    std::string reportingChild(const std::string &upstream) const;
    /// Overrides a lost mark with a higher liveness, because a live child reports the upstream as
    /// reachable.
    void overrideLostMark(const proto::UpstreamStatus &mark);
    /// Marks an upstream as lost unless its status differs from the one that was checked. The
    /// process that owns the status corrects a wrong mark by a higher liveness.
    bool markLost(const Status &seen);
    /// Removes upstreams for which keep is false.
    template <typename Keep>
    size_t prune(Keep keep)
    {
        const auto removed = std::erase_if(this->rows, [&](const auto &row) {
            if (keep(*row.second.status))
                return false;
            this->changeLog.erase(row.second.position);
            return true;
        });
        return removed;
    }

    /// Null if the upstream is not known.
    Status find(const std::string &upstream) const;
    std::vector<Status> all() const;

private:
    struct Row
    {
        Status status;
        StatusSource source = StatusSource::Own;
        // Reporting child; empty for other sources.
        std::string origin;
        // The last change did not come from the reporting child, which must therefore be sent the
        // status.
        bool sendToOrigin = false;
        uint64_t position = 0;
    };

    void store(Row &row, proto::UpstreamStatus status);

    std::map<std::string, Row> rows;
    // Upstream changed last at each position. Invariant: one entry for each row.
    std::map<uint64_t, std::string> changeLog;
    uint64_t lastPosition = 0;
};

} // namespace tray
