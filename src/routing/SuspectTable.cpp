// Counting, merging and expiry of suspects.
#include "routing/SuspectTable.h"

#include <algorithm>

namespace tray {

bool SuspectTable::recordCrash(uint64_t contentDigest, const std::string &upstream, Instant now)
{
    auto &row = this->rows[contentDigest];
    if (row.expiresAt <= now || row.clearedAt)
        row = {};
    if (row.upstreams.size() >= MaxListedUpstreams && !row.upstreams.contains(upstream))
        row.upstreams.erase(row.upstreams.begin());
    const auto [known, first] = row.upstreams.try_emplace(upstream, now);
    if (!first && now - known->second < CrashDedupWindow)
        return false;
    known->second = now;
    ++row.crashes;
    row.expiresAt = now + SuspectLifetime;
    row.changedAt = now;
    this->evictExcess();
    return true;
}

bool SuspectTable::recordCompletion(uint64_t contentDigest, Instant now)
{
    const auto found = this->rows.find(contentDigest);
    if (found == this->rows.end() || found->second.expiresAt <= now)
        return false;
    return mergeCompletion(found->second, now, now);
}

bool SuspectTable::mergeCompletion(Row &row, Instant clearedAt, Instant now)
{
    const Instant lastCrashAt = row.expiresAt - SuspectLifetime;
    if (row.clearedAt || row.crashes == 0 || clearedAt < lastCrashAt)
        return false;
    row = {};
    row.clearedAt = clearedAt;
    row.changedAt = now;
    row.expiresAt = now + PropagationTime;
    return true;
}

bool SuspectTable::merge(const proto::Suspect &suspect, Instant now)
{
    const Duration lifetime = suspect.cleared() ? PropagationTime : SuspectLifetime;
    const auto expiresAt = now + std::min<Duration>(milliseconds(suspect.remaining_ms()), lifetime);
    if (expiresAt <= now)
        return false;
    const Instant lastChangeAt = expiresAt - lifetime;
    if (suspect.cleared()) {
        const auto found = this->rows.find(suspect.content_digest());
        return found != this->rows.end() && found->second.expiresAt > now &&
               mergeCompletion(found->second, lastChangeAt, now);
    }
    auto &row = this->rows[suspect.content_digest()];
    if (row.clearedAt && row.expiresAt > now && lastChangeAt <= *row.clearedAt)
        return false;
    if (row.expiresAt <= now || row.clearedAt)
        row = {};
    const auto before = row.upstreams.size();
    for (const auto &upstream : suspect.upstreams()) {
        if (row.upstreams.size() < MaxListedUpstreams)
            row.upstreams.try_emplace(upstream, now);
    }
    const auto crashes =
        std::max({row.crashes, suspect.crashes(), static_cast<uint32_t>(row.upstreams.size())});
    const bool isNew = crashes != row.crashes || row.upstreams.size() != before;
    if (isNew)
        row.changedAt = now;
    row.crashes = crashes;
    row.expiresAt = std::max(row.expiresAt, expiresAt);
    this->evictExcess();
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
    suspect.set_remaining_ms(
        static_cast<uint32_t>(std::max<int64_t>(toMs(row.expiresAt - now), 0)));
    suspect.set_cleared(row.clearedAt.has_value());
    for (const auto &[upstream, crashedAt] : row.upstreams)
        suspect.add_upstreams(upstream);
    return suspect;
}

uint32_t SuspectTable::crashCount(uint64_t contentDigest, Instant now) const
{
    const auto found = this->rows.find(contentDigest);
    return found == this->rows.end() || found->second.expiresAt <= now ? 0 : found->second.crashes;
}

Duration SuspectTable::timeLeft(uint64_t contentDigest, Instant now) const
{
    const auto found = this->rows.find(contentDigest);
    return found == this->rows.end()
               ? Duration::zero()
               : std::max<Duration>(found->second.expiresAt - now, Duration::zero());
}

std::vector<proto::Suspect> SuspectTable::recentChanges(Instant now, bool all) const
{
    std::vector<proto::Suspect> suspects;
    for (const auto &[digest, row] : this->rows) {
        if (row.expiresAt <= now || (!all && row.changedAt + PropagationTime <= now))
            continue;
        suspects.push_back(toMessage(digest, row, now));
    }
    return suspects;
}

void SuspectTable::expire(Instant now)
{
    std::erase_if(this->rows, [&](const auto &row) { return row.second.expiresAt <= now; });
}

void SuspectTable::evictExcess()
{
    while (this->rows.size() > MaxSuspects) {
        this->rows.erase(std::min_element(this->rows.begin(), this->rows.end(),
                                          [](const auto &left, const auto &right) {
                                              return left.second.changedAt < right.second.changedAt;
                                          }));
    }
}

} // namespace tray
