// Decides on the requests of one client account at this gateway: with credit at once, otherwise in
// the order of their arrival as credit comes, for a short time.
#pragma once

#include "quota/QuotaCredit.h"
#include "quota/QuotaLimits.h"

#include <deque>
#include <utility>

namespace tray {

enum class QuotaVerdict : uint8_t {
    Granted,
    /// The request is over the limit.
    Exceeded,
    /// No home has answered, so it is not known whether the request is within the limit.
    Unknown
};

struct QuotaDecision
{
    QuotaVerdict verdict = QuotaVerdict::Granted;
    /// Credit of a granted request.
    QuotaCharge charge;
    /// Time until the account's credit covers the request, if it was not granted.
    Duration retryAfter{};
};

class AccountQuota
{
public:
    /// Longest wait for credit if a home answers. A home that does not answer is given up after
    /// QuotaCredit::ReplyTimeout, so the second one has as much time again.
    static constexpr Duration MaxWait = QuotaCredit::ReplyTimeout;
    static constexpr Duration MaxSilence = 2 * QuotaCredit::ReplyTimeout;
    /// Retry-After of a request whose home does not answer.
    static constexpr Duration SilenceRetryAfter = milliseconds(500);
    /// Requests that wait at most; further ones are refused.
    static constexpr size_t MaxWaiters = 500;

    using Ticket = uint64_t;
    using Decisions = std::vector<std::pair<Ticket, QuotaDecision>>;

    /// Decides on a request that has arrived. Returns nothing if it has to wait.
    std::optional<QuotaDecision> decide(uint64_t cost, const QuotaSpec &spec,
                                        const QuotaBounds &bounds, Instant now);
    Ticket enqueue(uint64_t cost, Instant now);
    /// Removes a request that waits no longer. Does nothing if it was decided.
    void remove(Ticket ticket);
    /// Decides on waiting requests.
    Decisions decideWaiting(Instant now);
    /// Returns the gateway to ask, if an ask is due.
    std::optional<std::string> findHomeToAsk(const std::string &first, const std::string &second,
                                             Instant now);
    proto::CreditAskRow makeAsk(const std::string &home, Instant now);
    bool hasWaiters() const { return !this->waiters.empty(); }

    QuotaCredit credit;

private:
    struct Waiter
    {
        Ticket ticket;
        uint64_t cost;
        Instant arrivedAt;
    };

    Duration retryAfter(uint64_t cost, Instant now) const;

    // In the order of arrival.
    std::deque<Waiter> waiters;
    Ticket lastTicket = 0;
    // Rate of the quota, in units per second.
    double perSecond = 1;
};

} // namespace tray
