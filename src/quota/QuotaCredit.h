// The credit of this gateway for the quota of one client account.
//
// Credit comes from the home of the account, in cumulative totals: what a home has granted, less
// what was spent of it, is left. Each home has its own totals, because the home may change. Credit
// expires CreditLifetime after the sending of the ask that the home last answered, so that neither
// a paused process nor one without a home spends what the home no longer counts.
#pragma once

#include "base/Time.h"

#include "fleet.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Credit that one request has taken. It is reserved until the request is sent to an upstream and
/// spent from then on.
struct QuotaCharge
{
    struct Part
    {
        uint64_t ledger;
        uint64_t units;
    };

    std::vector<Part> parts;
    uint64_t cost = 0;
    bool isSpent = false;
};

/// Requests that wait for credit.
struct QuotaWaiters
{
    /// Units of the first request, and of all of them.
    uint64_t first = 0;
    uint64_t all = 0;
};

class QuotaCredit
{
public:
    static constexpr Duration CreditLifetime = std::chrono::seconds(3);
    /// Time after which an ask is sent again while a request waits.
    static constexpr Duration ResendInterval = milliseconds(50);
    /// Time without a reply after which the next gateway in the order is asked, and for how long.
    static constexpr Duration ReplyTimeout = milliseconds(150);
    static constexpr Duration SubstituteTime = std::chrono::seconds(1);

    /// Records the cost of a request, whether or not it is granted.
    void recordDemand(uint64_t cost, Instant now);
    /// Reserves credit for a request. Returns nothing if there is not enough.
    std::optional<QuotaCharge> tryCharge(uint64_t cost, Instant now);
    /// Records that the request is about to be sent to an upstream. Returns false if its credit has
    /// expired; the charge is then void and the request needs a new one.
    bool spend(QuotaCharge &charge, Instant now);
    /// Returns the credit of a request that no upstream has executed.
    void refund(const QuotaCharge &charge, Instant now);

    /// Returns the gateway to ask: the first one, or the second one for a while after the first has
    /// left several asks without a reply. The second one may be empty.
    const std::string &chooseHome(const std::string &first, const std::string &second, Instant now);
    /// Returns whether an ask should be sent to a home now although no request waits.
    bool isAskDue(const std::string &home, Instant now) const;
    /// Returns whether an ask for waiting requests should be sent to a home now.
    bool isResendDue(const std::string &home, Instant now) const;
    /// Makes the next ask to a home. Credit beyond what it wants is given up.
    proto::CreditAskRow makeAsk(const std::string &home, const QuotaWaiters &waiters, Instant now);
    /// Returns the incarnation of a home that the totals refer to; 0 if it is not known.
    uint64_t homeIncarnation(const std::string &home) const;
    /// Handles a home's answer. Returns false if it is outdated.
    bool handleGrant(const std::string &home, uint64_t homeIncarnation,
                     const proto::CreditGrantRow &row, Instant now);

    /// Returns the time until a request of this cost is expected to get credit, if a home has said
    /// that it does not get it now. The rate of the quota is in units per second.
    std::optional<Duration> knownWait(uint64_t cost, double perSecond, Instant now) const;
    /// Time of the last answer of any home.
    Instant answeredAt() const { return this->lastAnswerAt; }
    uint64_t balance(Instant now) const;
    /// Units that were spent, less refunds.
    uint64_t spentTotal() const;
    /// Whether there has been no demand and no ask for so long that the state can be dropped.
    bool isIdle(Instant now) const;

private:
    struct SentAsk
    {
        uint32_t number;
        Instant sentAt;
        uint64_t homeIncarnation;
        uint64_t spent;
        // Units that the sender promised to hold at most; the home may grant the rest to others.
        uint64_t kept;
        uint64_t needed;
    };

    // Totals of one home.
    struct Ledger
    {
        uint64_t id = 0;
        std::string home;
        uint64_t homeIncarnation = 0;
        uint64_t granted = 0;
        uint64_t spent = 0;
        uint64_t reserved = 0;
        // Spent units in the last ask.
        uint64_t reported = 0;
        Instant validUntil{};
        uint32_t lastNumber = 0;
        Instant askedAt{};
        // Asks that may still be answered, in their order.
        std::vector<SentAsk> sent;
        // Asks since the last answer, and the time of the first of them.
        uint32_t unanswered = 0;
        Instant unansweredSince{};

        uint64_t balance(Instant now) const;
    };

    double demandPerSecond(Instant now) const;
    /// Returns the units that the gateway wants to hold in advance.
    uint64_t wantedBalance(Instant now) const;
    const Ledger *findLedger(const std::string &home) const;
    Ledger *findLedger(uint64_t id);
    Ledger &openLedger(const std::string &home, Instant now);

    std::vector<Ledger> ledgers;
    uint64_t lastLedgerId = 0;
    // Decaying average, as of the time of the last request.
    double demand = 0;
    double meanCost = 0;
    Instant demandAt{};
    Instant substituteUntil{};
    Instant lastAnswerAt{};
    // A home's answer that a request of this cost gets no credit before a time.
    uint64_t refusedCost = 0;
    Instant refusedUntil{};
};

} // namespace tray
