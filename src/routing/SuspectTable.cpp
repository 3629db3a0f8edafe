// Counting, merging and expiry of suspects.
#include "routing/SuspectTable.h"

#include <algorithm>
#include <tuple>

namespace tray {

namespace {

// Bounds the delay between two probes to less than the lifetime of a suspect.
constexpr uint32_t MaxProbeDoublings = 5;

} // namespace

bool SuspectTable::recordCrash(uint64_t digest, const std::string &upstream, Instant now,
                               const CrashEvidence &evidence)
{
    auto &row = this->rows[digest];
    if (row.expiresAt <= now || row.clearedAt)
        row = {};
    if (row.upstreams.size() >= MaxListedUpstreams && !row.upstreams.contains(upstream))
        row.upstreams.erase(row.upstreams.begin());
    const auto [known, first] = row.upstreams.try_emplace(upstream, now);
    if (!first && now - known->second < CrashDedupWindow)
        return false;
    known->second = now;
    if (row.crashes == 0 || (evidence.sentAt && *evidence.sentAt > row.lastCrashAt()))
        ++row.rounds;
    row.isIsolated = row.isIsolated || evidence.isIsolated;
    ++row.crashes;
    row.expiresAt = now + SuspectLifetime;
    row.changedAt = now;
    this->evictExcess(digest);
    return true;
}

bool SuspectTable::recordCompletion(uint64_t digest, Instant now)
{
    const auto found = this->rows.find(digest);
    if (found == this->rows.end() || found->second.expiresAt <= now)
        return false;
    return mergeCompletion(found->second, now, now);
}

bool SuspectTable::recordProbe(uint64_t digest, Instant now)
{
    const auto found = this->rows.find(digest);
    if (found == this->rows.end() || found->second.expiresAt <= now || found->second.crashes == 0)
        return false;
    ++found->second.probes;
    found->second.probedAt = now;
    found->second.changedAt = now;
    return true;
}

bool SuspectTable::mergeCompletion(Row &row, Instant clearedAt, Instant now)
{
    if (row.clearedAt || row.crashes == 0 || clearedAt < row.lastCrashAt())
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
        const auto found = this->rows.find(suspect.digest());
        return found != this->rows.end() && found->second.expiresAt > now &&
               mergeCompletion(found->second, lastChangeAt, now);
    }
    auto &row = this->rows[suspect.digest()];
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
    const auto rounds = std::max(row.rounds, std::min(suspect.rounds(), crashes));
    const bool isNew = crashes != row.crashes || rounds != row.rounds ||
                       row.upstreams.size() != before || suspect.probes() > row.probes ||
                       (suspect.isolated() && !row.isIsolated);
    if (isNew)
        row.changedAt = now;
    if (suspect.probes() > row.probes) {
        row.probes = suspect.probes();
        row.probedAt = now;
    }
    row.crashes = crashes;
    row.rounds = rounds;
    row.isIsolated = row.isIsolated || suspect.isolated();
    row.expiresAt = std::max(row.expiresAt, expiresAt);
    this->evictExcess(suspect.digest());
    return isNew;
}

const SuspectTable::Row *SuspectTable::findRow(uint64_t digest, Instant now) const
{
    const auto found = this->rows.find(digest);
    return found == this->rows.end() || found->second.expiresAt <= now ? nullptr : &found->second;
}

proto::Suspect SuspectTable::find(uint64_t digest, Instant now) const
{
    const auto found = this->rows.find(digest);
    return found == this->rows.end() ? proto::Suspect() : toMessage(digest, found->second, now);
}

proto::Suspect SuspectTable::toMessage(uint64_t digest, const Row &row, Instant now)
{
    proto::Suspect suspect;
    suspect.set_digest(digest);
    suspect.set_crashes(row.crashes);
    suspect.set_rounds(row.rounds);
    suspect.set_probes(row.probes);
    suspect.set_isolated(row.isIsolated);
    suspect.set_remaining_ms(
        static_cast<uint32_t>(std::max<int64_t>(toMs(row.expiresAt - now), 0)));
    suspect.set_cleared(row.clearedAt.has_value());
    for (const auto &[upstream, crashedAt] : row.upstreams)
        suspect.add_upstreams(upstream);
    return suspect;
}

SuspectTable::Count SuspectTable::count(uint64_t digest, Instant now) const
{
    const Row *row = this->findRow(digest, now);
    if (row == nullptr)
        return {};
    return {row->crashes, row->rounds, row->probes, std::max(row->lastCrashAt(), row->probedAt)};
}

Duration SuspectTable::timeLeft(uint64_t digest, Instant now) const
{
    const Row *row = this->findRow(digest, now);
    return row == nullptr ? Duration::zero() : row->expiresAt - now;
}

std::vector<uint64_t> SuspectTable::findCompanions(uint64_t digest, Instant now) const
{
    std::vector<uint64_t> companions;
    const Row *row = this->findRow(digest, now);
    if (row == nullptr || row->upstreams.empty())
        return companions;
    for (const auto &item : this->rows) {
        const Row &candidate = item.second;
        if (item.first == digest || candidate.expiresAt <= now || candidate.crashes < row->crashes)
            continue;
        const bool hasAll =
            std::all_of(row->upstreams.begin(), row->upstreams.end(), [&](const auto &upstream) {
                return candidate.upstreams.contains(upstream.first);
            });
        if (hasAll)
            companions.push_back(item.first);
    }
    return companions;
}

Instant SuspectTable::probeDueAt(uint64_t digest, bool isSeparating) const
{
    const Row &row = this->rows.at(digest);
    const uint32_t factor = 1u << std::min(row.probes, MaxProbeDoublings);
    const Duration delay =
        isSeparating && !row.isIsolated ? QuickProbeDelay * (factor - 1) : ProbeDelay * factor;
    return std::max(row.lastCrashAt(), row.probedAt) + delay;
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

std::vector<proto::Suspect> SuspectTable::takeNextConfirmed(uint32_t minCrashes, size_t limit,
                                                            Instant now)
{
    std::vector<proto::Suspect> suspects;
    auto row = this->rows.upper_bound(this->lastTaken);
    for (size_t seen = 0; seen < this->rows.size() && suspects.size() < limit; ++seen) {
        if (row == this->rows.end())
            row = this->rows.begin();
        if (row->second.crashes >= minCrashes && row->second.expiresAt > now) {
            suspects.push_back(toMessage(row->first, row->second, now));
            suspects.back().clear_upstreams();
            this->lastTaken = row->first;
        }
        ++row;
    }
    return suspects;
}

std::vector<uint64_t> SuspectTable::digestsOf(uint32_t minCrashes, Instant now) const
{
    std::vector<uint64_t> digests;
    for (const auto &[digest, row] : this->rows) {
        if (row.crashes >= minCrashes && row.expiresAt > now)
            digests.push_back(digest);
    }
    return digests;
}

void SuspectTable::expire(Instant now)
{
    std::erase_if(this->rows, [&](const auto &row) { return row.second.expiresAt <= now; });
}

void SuspectTable::evictExcess(uint64_t kept)
{
    const auto rank = [&](const auto &row) {
        return std::tuple(row.first == kept, row.second.crashes, row.second.changedAt);
    };
    while (this->rows.size() > MaxSuspects) {
        this->rows.erase(std::min_element(
            this->rows.begin(), this->rows.end(),
            [&](const auto &left, const auto &right) { return rank(left) < rank(right); }));
    }
}

} // namespace tray
