// Suspect table.
#include "routing/SuspectTable.h"

#include <algorithm>

namespace tray {

bool SuspectTable::crash(uint64_t contentDigest, const std::string &upstream, Instant now)
{
    auto &row = this->rows[contentDigest];
    if (row.until <= now)
        row = {};
    const auto [known, first] = row.upstreams.try_emplace(upstream, now);
    if (!first && now - known->second < SameCrash)
        return false;
    known->second = now;
    ++row.crashes;
    row.until = now + Memory;
    row.changedAt = now;
    this->bound();
    return true;
}

bool SuspectTable::merge(const proto::Suspect &suspect, Instant now)
{
    const auto until = now + milliseconds(suspect.remaining_ms());
    if (until <= now)
        return false;
    auto &row = this->rows[suspect.content_digest()];
    if (row.until <= now)
        row = {};
    const auto before = row.upstreams.size();
    for (const auto &upstream : suspect.upstreams())
        row.upstreams.try_emplace(upstream, now);
    const auto crashes =
        std::max({row.crashes, suspect.crashes(), static_cast<uint32_t>(row.upstreams.size())});
    const bool isNew = crashes != row.crashes || row.upstreams.size() != before;
    if (isNew)
        row.changedAt = now;
    row.crashes = crashes;
    row.until = std::max(row.until, until);
    this->bound();
    return isNew;
}

proto::Suspect SuspectTable::find(uint64_t contentDigest, Instant now) const
{
    const auto found = this->rows.find(contentDigest);
    return found == this->rows.end() ? proto::Suspect()
                                     : toMessage(contentDigest, found->second, now);
}

proto::Suspect SuspectTable::toMessage(uint64_t contentDigest, const Row &row, Instant now)
{
    proto::Suspect suspect;
    suspect.set_content_digest(contentDigest);
    suspect.set_crashes(row.crashes);
    suspect.set_remaining_ms(static_cast<uint32_t>(std::max<int64_t>(toMs(row.until - now), 0)));
    for (const auto &[upstream, crashedAt] : row.upstreams)
        suspect.add_upstreams(upstream);
    return suspect;
}

uint32_t SuspectTable::crashesOf(uint64_t contentDigest, Instant now) const
{
    const auto found = this->rows.find(contentDigest);
    return found == this->rows.end() || found->second.until <= now ? 0 : found->second.crashes;
}

std::vector<proto::Suspect> SuspectTable::changed(Instant now, bool all) const
{
    std::vector<proto::Suspect> suspects;
    for (const auto &[digest, row] : this->rows) {
        if (row.until <= now || (!all && row.changedAt + PassOn <= now))
            continue;
        suspects.push_back(toMessage(digest, row, now));
    }
    return suspects;
}

void SuspectTable::expire(Instant now)
{
    std::erase_if(this->rows, [&](const auto &row) { return row.second.until <= now; });
}

void SuspectTable::bound()
{
    while (this->rows.size() > MaxSuspects) {
        this->rows.erase(std::min_element(this->rows.begin(), this->rows.end(),
                                          [](const auto &left, const auto &right) {
                                              return left.second.changedAt < right.second.changedAt;
                                          }));
    }
}

} // namespace tray
