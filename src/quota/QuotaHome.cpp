// Implements the buckets of accounts and their division among the gateways that ask.
#include "quota/QuotaHome.h"

#include <cmath>
#include <limits>

namespace tray {

namespace {

// Part of the rate above which the demand of all gateways counts as scarcity.
constexpr double ScarcityPart = 0.9;
// A bucket counts as full from this part of its capacity, because amounts are rounded.
constexpr double FullPart = 0.999;
// Part of the capacity above which units that are reserved for other gateways are granted.
constexpr double OpenPart = 0.5;
// Time without asks after which a home that becomes first does not rely on its bucket: another one
// may have granted meanwhile.
constexpr Duration BucketTrustTime = std::chrono::seconds(1);
// Time for which units are saved for a request that was refused and may come again.
constexpr Duration NeedLifetime = std::chrono::seconds(2);
constexpr double MaxWaitMs = 3.6e6;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void QuotaHome::notePassage(Instant now)
{
    if (this->lastCallAt && now > *this->lastCallAt + PauseTime) {
        const bool isLong = now > *this->lastCallAt + LongPauseTime;
        this->resumedAt = now;
        // Another home may have granted meanwhile what the rate yielded.
        for (auto &[account, bucket] : this->buckets) {
            bucket.filledAt = now;
            bucket.wasFirst = bucket.wasFirst && !isLong;
        }
    }
    this->lastCallAt = std::max(now, this->lastCallAt.value_or(now));
}

QuotaHome::Totals QuotaHome::sum(const Bucket &bucket)
{
    Totals totals;
    totals.level = bucket.common;
    for (const auto &[name, record] : bucket.records) {
        totals.level += record.reserved;
        totals.unspent += record.unspent();
        totals.demand += record.demand;
    }
    return totals;
}

void QuotaHome::dropExpired(Bucket &bucket, Instant now) const
{
    for (auto item = bucket.records.begin(); item != bucket.records.end();) {
        if (now < item->second.askedAt + RecordLifetime) {
            ++item;
            continue;
        }
        bucket.common += item->second.reserved;
        item = bucket.records.erase(item);
    }
}

QuotaHome::Bucket &QuotaHome::openBucket(uint64_t account, const QuotaSpec &spec,
                                         const HomeStanding &standing, Instant now)
{
    const QuotaLimits limits(spec, this->bounds);
    const auto [item, isNew] = this->buckets.try_emplace(account);
    Bucket &bucket = item->second;
    const bool isSettled =
        standing.isFirst && now >= std::max(standing.since, this->resumedAt) + this->bounds.window;
    const bool hasStayedFirst = bucket.wasFirst && standing.since <= bucket.askedAt;
    const bool isTrusted = standing.isFirst && (hasStayedFirst || isSettled);
    const bool hasServed = now < bucket.askedAt + BucketTrustTime;
    if (isNew) {
        bucket.spec = spec;
        bucket.filledAt = now;
        bucket.common = isSettled ? limits.capacity() : limits.startLevel();
    } else if (!isTrusted && !hasServed) {
        double reserved = 0;
        for (auto &[name, record] : bucket.records)
            reserved += std::exchange(record.reserved, 0);
        const bool isRested = now >= bucket.askedAt + this->bounds.window;
        bucket.common = isRested ? limits.startLevel()
                                 : std::min(bucket.common + reserved, limits.startLevel());
        bucket.filledAt = now;
    }
    bucket.wasFirst = standing.isFirst;
    bucket.askedAt = now;
    this->dropExpired(bucket, now);
    return bucket;
}

void QuotaHome::fill(Bucket &bucket, double perSecond, const QuotaLimits &limits, Instant now) const
{
    const double elapsed = toSeconds(now - bucket.filledAt);
    bucket.filledAt = std::max(now, bucket.filledAt);
    const Totals totals = sum(bucket);
    const double level = limits.capacity() - totals.unspent;
    double units = std::min(std::max(0.0, elapsed) * perSecond, level - totals.level);
    // A lowered limit, or credit that was given up, leaves more in the bucket than it may hold.
    double excess = std::max(0.0, totals.level - std::max(0.0, level));
    const auto removeFrom = [&](double &amount) {
        const double part = std::min(excess, std::max(0.0, amount));
        amount -= part;
        excess -= part;
    };
    removeFrom(bucket.common);
    for (auto &[name, record] : bucket.records)
        removeFrom(record.reserved);
    if (units <= 0)
        return;
    const double debt = std::min(units, std::max(0.0, -bucket.common));
    bucket.common += debt;
    units -= debt;
    if (totals.demand > ScarcityPart * perSecond) {
        const double shared = units;
        for (auto &[name, record] : bucket.records) {
            const double share = record.demand / totals.demand;
            const double most =
                std::max(limits.capacity() * share, std::min(record.needed, limits.capacity()));
            const double part =
                std::min({shared * share, std::max(0.0, most - record.reserved), units});
            record.reserved += part;
            units -= part;
        }
    }
    bucket.common += units;
}

QuotaHome::Record *QuotaHome::updateRecord(Bucket &bucket, const CreditAsker &asker,
                                           const proto::CreditAskRow &row, Instant now)
{
    const auto [item, isNew] = bucket.records.try_emplace(asker.name);
    Record &record = item->second;
    const bool isSame = !isNew && record.incarnation == asker.incarnation;
    if (isSame && row.number() <= record.lastNumber)
        return nullptr;
    if (!isSame || (record.isConfirmed && !asker.knowsHome)) {
        // What an earlier incarnation held counts as spent.
        bucket.common += record.reserved;
        record = Record{};
        record.incarnation = asker.incarnation;
        record.granted = asker.knowsHome ? row.spent_total() : 0;
    }
    record.isConfirmed = record.isConfirmed || asker.knowsHome;
    record.lastNumber = row.number();
    record.askedAt = now;
    record.demand = row.demand_per_s();
    record.spent = asker.knowsHome ? row.spent_total() : 0;
    record.granted = std::max(record.granted, record.spent);
    return &record;
}

void QuotaHome::reduce(Bucket &bucket, Record &record, const proto::CreditAskRow &row,
                       const QuotaLimits &limits, const Totals &totals)
{
    const uint64_t kept = std::max(row.wanted(), row.needed());
    const uint64_t cap = record.spent + kept;
    if (record.granted > cap) {
        bucket.common += static_cast<double>(record.granted - cap);
        record.granted = cap;
    }
    // The gateway may have spent what a lowered limit takes away, so that is not returned.
    if (std::exchange(record.isOverdue, false)) {
        const double share = totals.demand > 0 ? record.demand / totals.demand : 1;
        const auto allowed =
            static_cast<uint64_t>(std::max<double>(limits.advanceLimit() * share, row.needed()));
        record.granted = std::min(record.granted, record.spent + allowed);
    }
}

double QuotaHome::available(const Bucket &bucket, const Record &record)
{
    return std::max(0.0, record.reserved + bucket.common);
}

void QuotaHome::take(Bucket &bucket, Record &record, double units)
{
    const auto takeFrom = [&](double &source) {
        const double part = std::min(units, std::max(0.0, source));
        source -= part;
        units -= part;
    };
    takeFrom(record.reserved);
    takeFrom(bucket.common);
    for (auto &[name, other] : bucket.records)
        takeFrom(other.reserved);
    bucket.common -= units;
}

double QuotaHome::usablePart(const HomeStanding &standing, Instant now) const
{
    if (!standing.isFirst)
        return standing.isFirstSilent ? CautiousPart : 0;
    if (now < standing.since + OverlapTime)
        return OverlapPart;
    return now < std::max(standing.since, this->resumedAt) + CautionTime ? CautiousPart : 1;
}

std::optional<proto::CreditGrantRow> QuotaHome::ask(const CreditAsker &asker,
                                                    const proto::CreditAskRow &row,
                                                    const QuotaSpec &spec,
                                                    const HomeStanding &standing, Instant now)
{
    this->notePassage(now);
    Bucket &bucket = this->openBucket(row.account(), spec, standing, now);
    const QuotaLimits limits(spec, this->bounds);
    const double perSecond = spec.perSecond * this->usablePart(standing, now);
    this->fill(bucket, std::min(perSecond, bucket.spec.perSecond), limits, now);
    const bool isLowered = spec.perSecond < bucket.spec.perSecond ||
                           spec.burst < bucket.spec.burst || spec.unit != bucket.spec.unit;
    for (auto &[name, record] : bucket.records)
        record.isOverdue = record.isOverdue || isLowered;
    bucket.spec = spec;
    Record *record = updateRecord(bucket, asker, row, now);
    if (record == nullptr)
        return std::nullopt;
    reduce(bucket, *record, row, limits, sum(bucket));

    const Totals totals = sum(bucket);
    const double share = totals.demand > 0 ? record->demand / totals.demand : 1;
    const double needed = std::max(0.0, row.needed() - record->unspent());
    if (row.needed() > 0 || now >= record->neededAt + NeedLifetime) {
        record->needed = needed;
        record->neededAt = now;
    }
    // What is reserved for others is used if much is left: else many small reserves, none of which
    // covers a request, would keep the bucket full.
    const double openLevel = std::max(limits.capacity() * OpenPart, needed);
    const bool isOpen = totals.level >= openLevel;
    // A full bucket covers a request that is larger.
    const bool isFull = totals.level + totals.unspent >= limits.capacity() * FullPart &&
                        totals.unspent - record->unspent() <= limits.advanceLimit() &&
                        needed <= limits.largestCost();
    proto::CreditGrantRow grant;
    grant.set_account(row.account());
    grant.set_number(row.number());
    const auto give = [&](double units) {
        take(bucket, *record, units);
        record->granted += static_cast<uint64_t>(units);
    };
    if (needed > 0 && needed > available(bucket, *record) && !isOpen && !isFull) {
        // Either the bucket fills, or the gateway's part of the rate covers the request.
        const double untilOpen =
            std::min(openLevel, limits.capacity() - totals.unspent) - totals.level;
        const bool isScarce = totals.demand > ScarcityPart * perSecond;
        const double missing = needed - record->reserved - bucket.common;
        const double byShare = isScarce ? missing / std::max(share, 1e-3) : missing;
        const double seconds =
            (needed <= limits.capacity() ? std::min(byShare, untilOpen) : untilOpen) /
            std::max(perSecond, spec.perSecond * OverlapPart);
        const double waitMs = std::ceil(seconds * 1000);
        grant.set_wait_ms(waitMs > 0 ? static_cast<uint32_t>(std::min(waitMs, MaxWaitMs)) : 1);
    } else {
        give(needed);
        const double atHand = std::floor(available(bucket, *record));
        // Only credit in advance counts: that for the waiting request is spent on arrival.
        const double unspentElsewhere = totals.unspent + needed - record->unspent();
        const double advance = record->unspent() - row.needed();
        double most = std::min(limits.advanceLimit() * share,
                               limits.advanceLimit() - std::max(0.0, unspentElsewhere));
        // While requests wait, the gateway wants what these need.
        if (row.needed() > 0)
            most = std::numeric_limits<double>::max();
        const double target =
            std::min<double>(row.wanted() - std::min(row.wanted(), row.needed()), most);
        give(std::clamp(std::floor(target - advance), 0.0, atHand));
    }
    grant.set_granted_total(record->granted);
    return grant;
}

void QuotaHome::tick(Instant now)
{
    this->notePassage(now);
    for (auto &[account, bucket] : this->buckets)
        this->dropExpired(bucket, now);
}

size_t QuotaHome::countActive() const
{
    return static_cast<size_t>(
        std::count_if(this->buckets.begin(), this->buckets.end(),
                      [](const auto &item) { return !item.second.records.empty(); }));
}

bool QuotaHome::isActive(uint64_t account) const
{
    const auto found = this->buckets.find(account);
    return found != this->buckets.end() && !found->second.records.empty();
}

} // namespace tray
