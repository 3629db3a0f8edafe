// Grants credit for the quotas of client accounts whose home this gateway is.
//
// Each account has a token bucket. The units of the bucket and the unspent credit of all gateways
// together stay below QuotaLimits::capacity(): a grant moves units from one to the other, the
// rate adds to the bucket only below that limit, and credit whose fate is unknown counts as spent.
#pragma once

#include "accounts/ClientAccount.h"
#include "base/Time.h"
#include "quota/QuotaLimits.h"

#include "fleet.pb.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace tray {

/// The home's place in the order of an account's gateways, as it knows them.
struct HomeStanding
{
    bool isFirst = true;
    /// Time since which the first gateway of the order has been the same.
    Instant since{};
    /// The first gateway, which is another one, answers no probes.
    bool isFirstSilent = false;
};

/// The gateway that asks.
struct CreditAsker
{
    std::string name;
    uint64_t incarnation = 0;
    /// Whether the totals of its ask refer to this incarnation of the home.
    bool knowsHome = false;
};

class QuotaHome
{
public:
    explicit QuotaHome(QuotaBounds bounds) : bounds(bounds) {}

    /// Time after a gateway's last ask until its record is dropped. Longer than the lifetime of
    /// credit at the gateway, which counts from the sending of the ask.
    static constexpr Duration RecordLifetime = std::chrono::seconds(4);
    /// Time for which a home grants at a reduced rate after a change of the order, because another
    /// one may still be asked.
    static constexpr Duration CautionTime = std::chrono::seconds(2);
    /// Rate of such a home, and of a substitute for a silent one, as a part of the quota. A
    /// substitute for a home that is not silent grants only its start level.
    static constexpr double CautiousPart = 0.6;
    /// Time after a change of the order in which the earlier home may still grant the whole rate,
    /// and the part of the rate that the new one grants meanwhile.
    static constexpr Duration OverlapTime = std::chrono::seconds(1);
    static constexpr double OverlapPart = 0.3;
    /// Time without a call to ask() or tick() after which the process counts as paused: other homes
    /// may have granted credit meanwhile. After a long pause, one of them may have a full bucket.
    static constexpr Duration PauseTime = milliseconds(500);
    static constexpr Duration LongPauseTime = std::chrono::seconds(2);

    /// Handles one row of an ask. Returns nothing for a row that is older than one handled before.
    std::optional<proto::CreditGrantRow> ask(const CreditAsker &asker,
                                             const proto::CreditAskRow &row, const QuotaSpec &spec,
                                             const HomeStanding &standing, Instant now);
    /// Drops the records of gateways that ask no more, and notices pauses of the process. Called
    /// several times in PauseTime.
    void tick(Instant now);
    /// Drops the state of accounts for which the function returns false.
    template <typename Predicate>
    void retain(Predicate &&isLimited)
    {
        std::erase_if(this->buckets, [&](const auto &item) { return !isLimited(item.first); });
    }
    /// Number of accounts for which gateways ask at present.
    size_t countActive() const;
    /// Whether gateways ask for an account at present.
    bool isActive(uint64_t account) const;

private:
    struct Record
    {
        uint64_t incarnation = 0;
        uint32_t lastNumber = 0;
        // An ask has shown that the gateway knows the totals of this home.
        bool isConfirmed = false;
        uint64_t granted = 0;
        uint64_t spent = 0;
        // Units that its last waiting request lacked, and the time of that ask.
        double needed = 0;
        Instant neededAt{};
        double demand = 0;
        Instant askedAt{};
        // Units of the bucket that are reserved for this gateway under scarcity.
        double reserved = 0;
        // The limit was lowered since the last grant.
        bool isOverdue = false;

        double unspent() const { return static_cast<double>(this->granted - this->spent); }
    };

    struct Bucket
    {
        QuotaSpec spec;
        // Units that are reserved for no gateway; negative after a request larger than the bucket.
        double common = 0;
        bool wasFirst = false;
        Instant filledAt{};
        Instant askedAt{};
        std::map<std::string, Record> records;
    };

    /// Sums over the records of a bucket.
    struct Totals
    {
        double level = 0;
        double unspent = 0;
        double demand = 0;
    };

    void notePassage(Instant now);
    /// Returns the part of the quota's rate that this home may grant.
    double usablePart(const HomeStanding &standing, Instant now) const;
    Bucket &openBucket(uint64_t account, const QuotaSpec &spec, const HomeStanding &standing,
                       Instant now);
    static Totals sum(const Bucket &bucket);
    void dropExpired(Bucket &bucket, Instant now) const;
    /// Adds what the rate yields since the last call, under scarcity in proportion to demand.
    void fill(Bucket &bucket, double perSecond, const QuotaLimits &limits, Instant now) const;
    /// Returns the record of the asker, or null if the row is outdated.
    static Record *updateRecord(Bucket &bucket, const CreditAsker &asker,
                                const proto::CreditAskRow &row, Instant now);
    /// Takes back what the asker has given up or what a lowered limit no longer allows.
    static void reduce(Bucket &bucket, Record &record, const proto::CreditAskRow &row,
                       const QuotaLimits &limits, const Totals &totals);
    /// Moves units from the bucket to a gateway: its own reserve first, those of others last.
    static void take(Bucket &bucket, Record &record, double units);
    static double available(const Bucket &bucket, const Record &record);

    const QuotaBounds bounds;
    std::unordered_map<uint64_t, Bucket> buckets;
    std::optional<Instant> lastCallAt;
    // End of the last pause of the process.
    Instant resumedAt{};
};

} // namespace tray
