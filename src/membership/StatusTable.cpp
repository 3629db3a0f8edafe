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

bool StatusTable::apply(const proto::UpstreamStatus &status, Side side, const std::string &origin)
{
    auto &row = this->rows[status.upstream()];
    // A child that passes a mark of loss on does not vouch for the upstream.
    if (status.lost() && side == Side::Child)
        side = Side::Parent;
    if (row.status) {
        const auto present = rankOf(*row.status);
        const auto given = rankOf(status);
        if (given < present)
            return false;
        if (given == present) {
            if (side != Side::Child || row.side == Side::Own)
                return false;
            // The status now has to go up from here, so it counts as a change of this table.
            const bool heardFromChild = row.side == Side::Child;
            row.side = side;
            row.origin = origin;
            if (!heardFromChild)
                this->store(row, status);
            return false;
        }
    }
    // A parent that only changes the liveness does not say that the upstream has moved. The child
    // has to hear of it, as it may be the one to cure a mark.
    const bool sameWord = row.status && row.status->epoch() == status.epoch() &&
                          row.status->sequence() == status.sequence();
    if (side != Side::Parent || !sameWord) {
        row.side = side;
        row.origin = side == Side::Child ? origin : std::string();
    }
    this->store(row, status);
    row.tellChild = side != Side::Child;
    return true;
}

std::vector<StatusTable::Status> StatusTable::changedAfter(uint64_t position,
                                                           const std::string &exceptChild) const
{
    std::vector<Status> changed;
    for (auto it = this->journal.upper_bound(position); it != this->journal.end(); ++it) {
        const auto &row = this->rows.at(it->second);
        if (exceptChild.empty() || row.origin != exceptChild || row.tellChild)
            changed.push_back(row.status);
    }
    return changed;
}

std::vector<StatusTable::Status> StatusTable::changedBelow(uint64_t position) const
{
    std::vector<Status> changed;
    for (auto it = this->journal.upper_bound(position); it != this->journal.end(); ++it) {
        const auto &row = this->rows.at(it->second);
        // A mark of loss may have no one else who knows it, once its maker has restarted.
        if (row.side != Side::Parent || row.status->lost())
            changed.push_back(row.status);
    }
    return changed;
}

std::vector<StatusTable::Status> StatusTable::release(const std::string &child)
{
    std::vector<Status> released;
    for (auto &[name, row] : this->rows) {
        if (row.side != Side::Child || row.origin != child)
            continue;
        row.side = Side::Parent;
        row.origin.clear();
        if (!row.status->lost())
            released.push_back(row.status);
    }
    return released;
}

std::vector<StatusTable::Status> StatusTable::heardFromParent() const
{
    std::vector<Status> found;
    for (const auto &[name, row] : this->rows) {
        if (row.side == Side::Parent && !row.status->lost())
            found.push_back(row.status);
    }
    return found;
}

std::string StatusTable::voucher(const std::string &upstream) const
{
    const auto found = this->rows.find(upstream);
    return found == this->rows.end() ? std::string() : found->second.origin;
}

void StatusTable::refute(const proto::UpstreamStatus &mark)
{
    auto &row = this->rows.at(mark.upstream());
    auto status = *row.status;
    status.set_liveness(mark.liveness() + 1);
    this->store(row, std::move(status));
    row.tellChild = true;
}

bool StatusTable::markLost(const Status &seen)
{
    const auto found = this->rows.find(seen->upstream());
    if (found == this->rows.end() || found->second.status != seen || seen->lost())
        return false;
    auto status = *seen;
    status.set_lost(true);
    status.set_liveness(status.liveness() + 1);
    // The mark goes to everyone, also to the process that can cure it.
    found->second.side = Side::Own;
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
