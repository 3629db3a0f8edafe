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

    /// Takes a status over from a neighbour ("" for the own process). Returns true if it is newer.
    bool apply(const proto::UpstreamStatus &status, const std::string &origin);
    /// Position of the last change.
    uint64_t position() const { return this->lastPosition; }
    /// Statuses changed after a position, without those that came from a neighbour itself.
    std::vector<Status> changedAfter(uint64_t position, const std::string &exceptOrigin) const;
    /// Statuses that were last heard from a neighbour and are not marked as lost.
    std::vector<Status> heardFrom(const std::string &origin) const;
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
        std::string origin;
        uint64_t position = 0;
    };

    void store(Row &row, proto::UpstreamStatus status);

    std::map<std::string, Row> rows;
    // Upstream changed last at each position. Invariant: one entry for each row.
    std::map<uint64_t, std::string> journal;
    uint64_t lastPosition = 0;
};

} // namespace tray
