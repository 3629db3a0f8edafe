// Status table.
#include "membership/StatusTable.h"

#include <tuple>

namespace tray {

namespace {

auto rankOf(const proto::UpstreamStatus &status)
{
    return std::make_tuple(status.epoch(), status.sequence(), status.liveness());
}

} // namespace

bool StatusTable::apply(const proto::UpstreamStatus &status, const std::string &origin)
{
    auto &row = this->rows[status.upstream()];
    if (row.status) {
        const auto present = rankOf(*row.status);
        const auto given = rankOf(status);
        // A neighbour that repeats what is known has taken the upstream over from another one that
        // may be dead by now.
        if (given == present)
            row.origin = origin;
        if (given <= present)
            return false;
    }
    row.origin = origin;
    this->store(row, status);
    return true;
}

std::vector<StatusTable::Status> StatusTable::changedAfter(uint64_t position,
                                                           const std::string &exceptOrigin) const
{
    std::vector<Status> changed;
    for (auto it = this->journal.upper_bound(position); it != this->journal.end(); ++it) {
        const auto &row = this->rows.at(it->second);
        if (exceptOrigin.empty() || row.origin != exceptOrigin)
            changed.push_back(row.status);
    }
    return changed;
}

std::vector<StatusTable::Status> StatusTable::heardFrom(const std::string &origin) const
{
    std::vector<Status> statuses;
    for (const auto &[name, row] : this->rows) {
        if (row.origin == origin && !row.status->lost())
            statuses.push_back(row.status);
    }
    return statuses;
}

bool StatusTable::markLost(const Status &seen)
{
    const auto found = this->rows.find(seen->upstream());
    if (found == this->rows.end() || found->second.status != seen || seen->lost())
        return false;
    auto status = *seen;
    status.set_lost(true);
    status.set_liveness(status.liveness() + 1);
    // The neighbour has to hear of the mark, to cure it if it is wrong.
    found->second.origin.clear();
    this->store(found->second, std::move(status));
    return true;
}

StatusTable::Status StatusTable::find(const std::string &upstream) const
{
    const auto found = this->rows.find(upstream);
    return found == this->rows.end() ? nullptr : found->second.status;
}

std::vector<StatusTable::Status> StatusTable::all() const
{
    std::vector<Status> statuses;
    statuses.reserve(this->rows.size());
    for (const auto &[name, row] : this->rows)
        statuses.push_back(row.status);
    return statuses;
}

void StatusTable::store(Row &row, proto::UpstreamStatus status)
{
    if (row.position != 0)
        this->journal.erase(row.position);
    row.position = ++this->lastPosition;
    this->journal[row.position] = status.upstream();
    row.status = std::make_shared<const proto::UpstreamStatus>(std::move(status));
}

} // namespace tray
