// Implements the totals, the charges and the choice when to ask.
#include "quota/QuotaCredit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace tray {

namespace {

// Time constant of the average demand.
constexpr double DemandSeconds = 2;
constexpr double CostSmoothing = 0.1;
// Demand that a gateway wants to hold in advance, in seconds; more if this covers few requests, so
// that rare requests cost few datagrams.
constexpr double AdvanceSeconds = 1.5;
constexpr double LongAdvanceSeconds = 3;
constexpr double FewRequests = 4;
// Demand in advance below which none is held, as a part of a request.
constexpr double IgnoredPart = 0.25;
// Time between two asks that renew credit. One that is lost is sent again several times before the
// credit expires.
constexpr Duration RenewInterval = milliseconds(1800);
// Minimum time between two asks for credit in advance.
constexpr Duration AdvanceInterval = milliseconds(400);
// Minimum time between two asks that report spending of at least a usual request.
constexpr Duration ReportInterval = milliseconds(100);
// Time after which an ask for credit in advance is sent again.
constexpr Duration AdvanceResendInterval = milliseconds(300);
// Asks without a reply after which a home counts as lost: fewer may be lost datagrams, and asking
// another home for no reason adds to what is granted in total.
constexpr uint32_t LostAsks = 3;
// Asks for the return of credit that are not answered.
constexpr uint32_t MaxReturnAsks = 3;
// Time after which the totals of a home that is not asked are dropped; the home drops them earlier.
constexpr Duration LedgerLifetime = std::chrono::seconds(10);
constexpr size_t MaxSentAsks = 64;

uint32_t clampUnits(uint64_t units)
{
    return static_cast<uint32_t>(std::min<uint64_t>(units, std::numeric_limits<uint32_t>::max()));
}

} // namespace

uint64_t QuotaCredit::Ledger::balance(Instant now) const
{
    const uint64_t used = this->spent + this->reserved;
    return now<this->validUntil &&this->granted> used ? this->granted - used : 0;
}

double QuotaCredit::demandPerSecond(Instant now) const
{
    const double seconds = std::chrono::duration<double>(now - this->demandAt).count();
    return this->demand * std::exp(-std::max(0.0, seconds) / DemandSeconds);
}

void QuotaCredit::recordDemand(uint64_t cost, Instant now)
{
    const auto units = static_cast<double>(cost);
    this->demand = this->demandPerSecond(now) + units / DemandSeconds;
    this->demandAt = now;
    this->meanCost =
        this->meanCost == 0 ? units : this->meanCost + CostSmoothing * (units - this->meanCost);
}

uint64_t QuotaCredit::wantedBalance(Instant now) const
{
    const double perSecond = this->demandPerSecond(now);
    const bool areFew = perSecond * AdvanceSeconds < FewRequests * this->meanCost;
    const double wanted = perSecond * (areFew ? LongAdvanceSeconds : AdvanceSeconds);
    return wanted < IgnoredPart * this->meanCost ? 0 : static_cast<uint64_t>(std::ceil(wanted));
}

uint64_t QuotaCredit::balance(Instant now) const
{
    uint64_t total = 0;
    for (const auto &ledger : this->ledgers)
        total += ledger.balance(now);
    return total;
}

uint64_t QuotaCredit::spentTotal() const
{
    uint64_t total = 0;
    for (const auto &ledger : this->ledgers)
        total += ledger.spent;
    return total;
}

const QuotaCredit::Ledger *QuotaCredit::findLedger(const std::string &home) const
{
    const auto found = std::find_if(this->ledgers.begin(), this->ledgers.end(),
                                    [&](const Ledger &ledger) { return ledger.home == home; });
    return found == this->ledgers.end() ? nullptr : &*found;
}

QuotaCredit::Ledger *QuotaCredit::findLedger(uint64_t id)
{
    const auto found = std::find_if(this->ledgers.begin(), this->ledgers.end(),
                                    [&](const Ledger &ledger) { return ledger.id == id; });
    return found == this->ledgers.end() ? nullptr : &*found;
}

QuotaCredit::Ledger &QuotaCredit::openLedger(const std::string &home, Instant now)
{
    std::erase_if(this->ledgers, [&](const Ledger &ledger) {
        return ledger.home != home && now >= ledger.askedAt + LedgerLifetime;
    });
    const auto found = std::find_if(this->ledgers.begin(), this->ledgers.end(),
                                    [&](const Ledger &ledger) { return ledger.home == home; });
    if (found != this->ledgers.end())
        return *found;
    Ledger ledger;
    ledger.id = ++this->lastLedgerId;
    ledger.home = home;
    return this->ledgers.emplace_back(std::move(ledger));
}

std::optional<QuotaCharge> QuotaCredit::tryCharge(uint64_t cost, Instant now)
{
    if (this->balance(now) < cost)
        return std::nullopt;
    QuotaCharge charge;
    charge.cost = cost;
    for (auto &ledger : this->ledgers) {
        const uint64_t units = std::min(cost, ledger.balance(now));
        if (units == 0)
            continue;
        ledger.reserved += units;
        cost -= units;
        charge.parts.push_back({ledger.id, units});
    }
    return charge;
}

bool QuotaCredit::spend(QuotaCharge &charge, Instant now)
{
    if (charge.isSpent)
        return true;
    const bool isValid =
        std::all_of(charge.parts.begin(), charge.parts.end(), [&](const QuotaCharge::Part &part) {
            const Ledger *ledger = this->findLedger(part.ledger);
            return ledger != nullptr && now < ledger->validUntil;
        });
    if (!isValid) {
        this->refund(charge, now);
        charge.parts.clear();
        return false;
    }
    for (const auto &part : charge.parts) {
        Ledger *ledger = this->findLedger(part.ledger);
        ledger->reserved -= part.units;
        ledger->spent += part.units;
    }
    charge.isSpent = true;
    return true;
}

void QuotaCredit::refund(const QuotaCharge &charge, Instant now)
{
    for (const auto &part : charge.parts) {
        Ledger *ledger = this->findLedger(part.ledger);
        if (ledger == nullptr)
            continue;
        if (!charge.isSpent) {
            ledger->reserved -= part.units;
            continue;
        }
        ledger->spent -= part.units;
        // The home counted these units as spent. Many refunds at once must not add up to credit
        // that is spent at once.
        const uint64_t most = std::max(this->wantedBalance(now), part.units);
        const uint64_t balance = ledger->balance(now);
        if (balance > most)
            ledger->spent += balance - most;
    }
}

const std::string &QuotaCredit::chooseHome(const std::string &first, const std::string &second,
                                           Instant now)
{
    if (second.empty())
        return first;
    if (now < this->substituteUntil)
        return second;
    const Ledger *ledger = this->findLedger(first);
    if (ledger != nullptr && ledger->unanswered >= LostAsks &&
        now >= ledger->unansweredSince + ReplyTimeout) {
        this->substituteUntil = now + SubstituteTime;
        this->openLedger(first, now).unanswered = 0;
        return second;
    }
    return first;
}

bool QuotaCredit::isResendDue(const std::string &home, Instant now) const
{
    const Ledger *ledger = this->findLedger(home);
    if (ledger == nullptr || now >= ledger->askedAt + ResendInterval)
        return true;
    return ledger->unanswered == 0 && now >= this->refusedUntil;
}

bool QuotaCredit::isAskDue(const std::string &home, Instant now) const
{
    const uint64_t wanted = this->wantedBalance(now);
    const Ledger *ledger = this->findLedger(home);
    if (ledger == nullptr)
        return wanted > 0;
    const bool holds = now < ledger->validUntil && ledger->granted > ledger->spent;
    const Duration sinceAsk = now - ledger->askedAt;
    if (wanted == 0 && !holds)
        return ledger->unanswered > 0 && ledger->unanswered < MaxReturnAsks &&
               sinceAsk >= AdvanceResendInterval;
    if (ledger->unanswered > 0)
        return sinceAsk >= AdvanceResendInterval;
    const uint64_t balance = this->balance(now);
    // If nothing was spent since the last ask, the home would not grant more than it did.
    const bool isLow = 2 * balance < wanted && ledger->spent + ledger->reserved > ledger->reported;
    // The bucket does not fill up while the home takes spent credit for unspent.
    const bool isNews = ledger->spent > ledger->reported &&
                        static_cast<double>(ledger->spent - ledger->reported) >= this->meanCost;
    if (isNews && sinceAsk >= ReportInterval)
        return true;
    const bool isUnused = wanted == 0 && balance > 0;
    return sinceAsk >= (isLow || isUnused ? AdvanceInterval : RenewInterval);
}

proto::CreditAskRow QuotaCredit::makeAsk(const std::string &home, const QuotaWaiters &waiters,
                                         Instant now)
{
    Ledger &ledger = this->openLedger(home, now);
    // The home counts reserved units as unspent.
    const uint64_t needed = waiters.first == 0 ? 0 : ledger.reserved + waiters.first;
    const uint64_t wanted =
        ledger.reserved + (waiters.first == 0 ? this->wantedBalance(now) : waiters.all);
    proto::CreditAskRow row;
    row.set_number(++ledger.lastNumber);
    row.set_spent_total(ledger.spent);
    row.set_wanted(clampUnits(std::max(wanted, needed)));
    row.set_needed(clampUnits(needed));
    row.set_demand_per_s(clampUnits(static_cast<uint64_t>(std::ceil(this->demandPerSecond(now)))));
    ledger.granted = std::min(ledger.granted, ledger.spent + row.wanted());
    if (ledger.unanswered++ == 0)
        ledger.unansweredSince = now;
    ledger.askedAt = now;
    ledger.reported = ledger.spent;
    std::erase_if(ledger.sent,
                  [&](const SentAsk &ask) { return now >= ask.sentAt + CreditLifetime; });
    if (ledger.sent.size() >= MaxSentAsks)
        ledger.sent.erase(ledger.sent.begin());
    ledger.sent.push_back(
        {row.number(), now, ledger.homeIncarnation, ledger.spent, row.wanted(), waiters.first});
    return row;
}

uint64_t QuotaCredit::homeIncarnation(const std::string &home) const
{
    const Ledger *ledger = this->findLedger(home);
    return ledger == nullptr ? 0 : ledger->homeIncarnation;
}

bool QuotaCredit::handleGrant(const std::string &home, uint64_t homeIncarnation,
                              const proto::CreditGrantRow &row, Instant now)
{
    const auto ledger = std::find_if(this->ledgers.begin(), this->ledgers.end(),
                                     [&](const Ledger &item) { return item.home == home; });
    if (ledger == this->ledgers.end())
        return false;
    const auto ask = std::find_if(ledger->sent.begin(), ledger->sent.end(),
                                  [&](const SentAsk &sent) { return sent.number == row.number(); });
    if (ask == ledger->sent.end() || now >= ask->sentAt + CreditLifetime)
        return false;
    const SentAsk answered = *ask;
    if (ledger->homeIncarnation != homeIncarnation) {
        ledger->id = ++this->lastLedgerId;
        ledger->homeIncarnation = homeIncarnation;
        ledger->spent = 0;
        ledger->reported = 0;
        ledger->reserved = 0;
    }
    ledger->granted = row.granted_total();
    // The home may have acted on later asks already, whose answers are still on their way.
    for (auto later = ask + 1; later != ledger->sent.end(); ++later) {
        const uint64_t spent = later->homeIncarnation == homeIncarnation ? later->spent : 0;
        ledger->granted = std::min(ledger->granted, spent + later->kept);
    }
    ledger->validUntil = answered.sentAt + CreditLifetime;
    ledger->sent.erase(ledger->sent.begin(), ask + 1);
    ledger->unanswered = static_cast<uint32_t>(ledger->sent.size());
    if (!ledger->sent.empty())
        ledger->unansweredSince = ledger->sent.front().sentAt;
    this->lastAnswerAt = now;
    if (row.wait_ms() > 0) {
        this->refusedCost = answered.needed;
        this->refusedUntil = now + milliseconds(row.wait_ms());
    } else if (answered.needed > 0) {
        this->refusedUntil = Instant{};
    }
    return true;
}

std::optional<Duration> QuotaCredit::knownWait(uint64_t cost, double perSecond, Instant now) const
{
    if (now >= this->refusedUntil || cost < this->refusedCost)
        return std::nullopt;
    const double more = static_cast<double>(cost - this->refusedCost) / perSecond;
    return this->refusedUntil - now +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(more));
}

bool QuotaCredit::isIdle(Instant now) const
{
    return now >= this->demandAt + LedgerLifetime &&
           std::all_of(this->ledgers.begin(), this->ledgers.end(), [&](const Ledger &ledger) {
               return now >= ledger.askedAt + LedgerLifetime && ledger.reserved == 0;
           });
}

} // namespace tray
