// Implements the bounded table of stream origins.
#include "fleet/StreamOrigins.h"

#include "base/Hash.h"
#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray {

uint64_t streamDigest(std::string_view requestId)
{
    return hash64(requestId);
}

proto::StreamOriginRow makeOriginRow(uint64_t stream, const StreamOrigin &origin, Instant now)
{
    proto::StreamOriginRow row;
    row.set_digest(stream);
    row.set_service(origin.service);
    row.set_software_version(origin.softwareVersion);
    row.set_remaining_ms(static_cast<uint32_t>(std::max<int64_t>(0, toMs(origin.expiresAt - now))));
    return row;
}

void StreamOrigins::record(uint64_t stream, StreamOrigin origin, Instant now)
{
    if (now >= origin.expiresAt)
        return;
    const bool isNew = this->origins.insert_or_assign(stream, std::move(origin)).second;
    if (isNew)
        this->order.push_back(stream);
    this->evict(now);
}

void StreamOrigins::evict(Instant now)
{
    while (!this->order.empty()) {
        const auto oldest = this->origins.find(this->order.front());
        if (this->order.size() <= MaxOrigins && now < oldest->second.expiresAt)
            return;
        this->origins.erase(oldest);
        this->order.pop_front();
    }
}

void StreamOrigins::merge(const std::string &sender, const proto::StreamOriginReport &report,
                          Instant now)
{
    for (const auto &row : report.rows()) {
        const auto known = this->find(row.digest(), now);
        const bool isTooLong = row.service().size() + row.software_version().size() > MaxNameBytes;
        if (row.unknown() || isTooLong || (known && known->softwareVersion.empty()))
            continue;
        logDecision(
            LogPriority::Routine, now,
            fmt::format("event=stream_origin_heard digest={:016x} from={} service={} software={} "
                        "expires_in_ms={} known={}",
                        row.digest(), LogText{sender}, LogText{row.service()},
                        row.software_version(), row.remaining_ms(), known.has_value()));
        this->record(
            row.digest(),
            {row.service(), row.software_version(), now + milliseconds(row.remaining_ms())}, now);
    }
}

proto::StreamOriginReport StreamOrigins::answer(const proto::StreamOriginQuery &query,
                                                Instant now) const
{
    proto::StreamOriginReport report;
    if (const auto known = this->find(query.digest(), now)) {
        *report.add_rows() = makeOriginRow(query.digest(), *known, now);
    } else {
        auto *row = report.add_rows();
        row->set_digest(query.digest());
        row->set_unknown(true);
    }
    return report;
}

std::optional<StreamOrigin> StreamOrigins::find(uint64_t stream, Instant now) const
{
    const auto found = this->origins.find(stream);
    if (found == this->origins.end() || now >= found->second.expiresAt)
        return std::nullopt;
    return found->second;
}

} // namespace tray
