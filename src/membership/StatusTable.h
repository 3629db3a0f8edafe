// Status of all upstreams with a journal of changes, so that neighbours in the tree exchange
// deltas.
#pragma once

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tray {

/// Keeps the newest status of each upstream. "Newest" is the highest of epoch, sequence and
/// liveness, in this order, so that late, repeated and reordered statuses change nothing.
class StatusTable
{
public:
    using Status = std::shared_ptr<const proto::UpstreamStatus>;

    /// Where a status was heard.
    enum class Side { Own, Child, Parent };

    /// Takes a status over from a neighbour, or the own one with an empty origin. Returns true if
    /// it is newer. A child that repeats what is known is from then on the one who vouches for it.
    bool apply(const proto::UpstreamStatus &status, Side side, const std::string &origin);
    /// Position of the last change.
    uint64_t position() const { return this->lastPosition; }
    /// Statuses changed after a position, without those that came from a child itself.
    std::vector<Status> changedAfter(uint64_t position, const std::string &exceptChild) const;
    /// Own statuses, those of children, and marks of loss, that changed after a position. A parent
    /// hears all others on other ways, so a new parent is not sent the whole table.
    std::vector<Status> changedBelow(uint64_t position) const;
    /// Statuses that a child vouched for and that are not marked as lost; it no longer does.
    std::vector<Status> release(const std::string &child);
    /// Statuses heard from a parent only and not marked as lost. Without a parent, nobody renews
    /// them.
    std::vector<Status> heardFromParent() const;
    /// Child that vouches for an upstream; empty if none does.
    std::string voucher(const std::string &upstream) const;
    /// Answers a mark of loss with a higher liveness, because a live child vouches for the
    /// upstream.
    void refute(const proto::UpstreamStatus &mark);
    /// Marks an upstream as lost unless its status has changed since it was seen. The process that
    /// owns the status cures a wrong mark by a higher liveness.
    bool markLost(const Status &seen);
    /// Removes upstreams for which keep is false.
    template <typename Keep>
    size_t prune(Keep keep)
    {
        const auto removed = std::erase_if(this->rows, [&](const auto &row) {
            if (keep(*row.second.status))
                return false;
            this->journal.erase(row.second.position);
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
        Side side = Side::Own;
        // Child that vouches for the status; empty for other sides.
        std::string origin;
        // The status changed otherwise than by this child's word.
        bool tellChild = false;
        uint64_t position = 0;
    };

    void store(Row &row, proto::UpstreamStatus status);

    std::map<std::string, Row> rows;
    // Upstream changed last at each position. Invariant: one entry for each row.
    std::map<uint64_t, std::string> journal;
    uint64_t lastPosition = 0;
};

} // namespace tray
