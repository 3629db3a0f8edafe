#include "membership/StatusTable.h"

#include <tuple>

namespace tray {

namespace {

auto rankOf(const proto::UpstreamStatus &status)
{
    return std::make_tuple(status.epoch(), status.sequence(), status.liveness());
}

} // namespace

bool StatusTable::apply(const proto::UpstreamStatus &status, StatusSource source,
                        const std::string &origin)
{
    auto &row = this->rows[status.upstream()];
    // A child that forwards a lost mark does not report the upstream as reachable.
    if (status.lost() && source == StatusSource::Child)
        source = StatusSource::Parent;
    if (row.status) {
        const auto known = rankOf(*row.status);
        const auto received = rankOf(status);
        if (received < known)
            return false;
        if (received == known) {
            if (source != StatusSource::Child || row.source == StatusSource::Own)
                return false;
            // The parent must now be sent the status by this process, so it counts as a change of
            // this table.
            const bool hadReportingChild = row.source == StatusSource::Child;
            row.source = source;
            row.origin = origin;
            if (!hadReportingChild)
                this->store(row, status);
            return false;
        }
    }
    // A parent that only changes the liveness does not say that the upstream has moved. The child
    // must be sent the change, because it may be the process that can correct a lost mark.
    const bool livenessOnly = row.status && row.status->epoch() == status.epoch() &&
                              row.status->sequence() == status.sequence();
    if (source != StatusSource::Parent || !livenessOnly) {
        row.source = source;
        row.origin = source == StatusSource::Child ? origin : std::string();
    }
    this->store(row, status);
    row.sendToOrigin = source != StatusSource::Child;
    return true;
}

std::vector<StatusTable::Status> StatusTable::changedAfter(uint64_t position,
                                                           const std::string &exceptChild) const
{
    std::vector<Status> changed;
    for (auto it = this->changeLog.upper_bound(position); it != this->changeLog.end(); ++it) {
        const auto &row = this->rows.at(it->second);
        if (exceptChild.empty() || row.origin != exceptChild || row.sendToOrigin)
            changed.push_back(row.status);
    }
    return changed;
}

std::vector<StatusTable::Status> StatusTable::changedInSubtree(uint64_t position) const
{
    std::vector<Status> changed;
    for (auto it = this->changeLog.upper_bound(position); it != this->changeLog.end(); ++it) {
        const auto &row = this->rows.at(it->second);
        // Once the process that made a lost mark has restarted, no other one may know the mark.
        if (row.source != StatusSource::Parent || row.status->lost())
            changed.push_back(row.status);
    }
    return changed;
}

std::vector<StatusTable::Status> StatusTable::releaseChild(const std::string &child)
{
    std::vector<Status> released;
    for (auto &[name, row] : this->rows) {
        if (row.source != StatusSource::Child || row.origin != child)
            continue;
        row.source = StatusSource::Parent;
        row.origin.clear();
        if (!row.status->lost())
            released.push_back(row.status);
    }
    return released;
}

std::vector<StatusTable::Status> StatusTable::receivedFromParent() const
{
    std::vector<Status> found;
    for (const auto &[name, row] : this->rows) {
        if (row.source == StatusSource::Parent && !row.status->lost())
            found.push_back(row.status);
    }
    return found;
}

std::string StatusTable::reportingChild(const std::string &upstream) const
{
    const auto found = this->rows.find(upstream);
    return found == this->rows.end() ? std::string() : found->second.origin;
}

void StatusTable::overrideLostMark(const proto::UpstreamStatus &mark)
{
    auto &row = this->rows.at(mark.upstream());
    auto status = *row.status;
    status.set_liveness(mark.liveness() + 1);
    this->store(row, std::move(status));
    row.sendToOrigin = true;
}

bool StatusTable::markLost(const Status &seen)
{
    const auto found = this->rows.find(seen->upstream());
    if (found == this->rows.end() || found->second.status != seen || seen->lost())
        return false;
    auto status = *seen;
    status.set_lost(true);
    status.set_liveness(status.liveness() + 1);
    // The mark is sent to all neighbours, including the process that can correct it.
    found->second.source = StatusSource::Own;
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
        this->changeLog.erase(row.position);
    row.position = ++this->lastPosition;
    this->changeLog[row.position] = status.upstream();
    row.status = std::make_shared<const proto::UpstreamStatus>(std::move(status));
}

} // namespace tray
