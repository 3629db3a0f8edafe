// Enforces the quotas of client accounts: asks the homes of their quotas for credit, lets requests
// wait for it, and is itself the home of some accounts. docs/design/quotas.md explains the
// protocol.
//
// The clock is bootNow() throughout, so that neither credit nor a home outlives a suspension of the
// machine.
#pragma once

#include "accounts/AccountDirectory.h"
#include "base/Address.h"
#include "fleet/FleetConfig.h"
#include "observe/Metrics.h"
#include "quota/AccountQuota.h"
#include "quota/HomeCandidates.h"
#include "quota/HomeContacts.h"
#include "quota/QuotaHome.h"

#include "fleet.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>

namespace tray {

/// Credit that a request has got. May outlive the gateway.
class QuotaLease
{
public:
    QuotaLease(std::shared_ptr<AccountQuota> quota, QuotaCharge charge)
        : quota(std::move(quota)), charge(std::move(charge))
    {}

    /// Records that the request is about to be sent. Returns false if the credit has expired; the
    /// lease is then void.
    bool spend(Instant now) { return this->quota->credit.spend(this->charge, now); }
    /// Returns the credit, because no upstream has executed the request.
    void refund(Instant now) { this->quota->credit.refund(this->charge, now); }

private:
    std::shared_ptr<AccountQuota> quota;
    QuotaCharge charge;
};

/// Refusal of a request for lack of credit.
struct QuotaRefusal
{
    /// QuotaExceeded or QuotaUnavailable.
    ErrorKind kind = ErrorKind::QuotaExceeded;
    Duration retryAfter{};
};

/// Not thread-safe: used from the gateway's thread only.
class QuotaExchange
{
public:
    /// What the own gateway provides.
    struct Peers
    {
        std::function<std::shared_ptr<const FleetConfig>()> config;
        /// Returns the other gateways that are most likely running.
        std::function<std::vector<HomeCandidate>()> livePeers;
        std::function<void(const proto::Datagram &datagram, const std::string &peer)> sendToPeer;
        std::function<void(const proto::Datagram &datagram, const Address &target)> sendTo;
    };

    QuotaExchange(boost::asio::io_context &context, std::string instance, QuotaBounds bounds,
                  Metrics &metrics, Peers peers);

    void start();
    /// Passes the homes at this gateway to others, which it then asks itself. It still answers
    /// those that have not heard of it, without adding what the rate yields.
    void leave();
    /// Makes the next step compare the live gateways with the last ones, because one has announced
    /// that it stops.
    void notePeersChanged() { this->refreshedAt.reset(); }
    void stop() { this->isStopping = true; }
    /// Gets credit for a request of an account with a limit; waits up to AccountQuota::MaxSilence.
    boost::asio::awaitable<std::variant<QuotaLease, QuotaRefusal>>
    acquire(const ClientAccount &account, uint64_t cost);
    void handleAsk(const std::string &sender, const Address &address, const proto::CreditAsk &ask);
    void handleGrant(const std::string &sender, const proto::CreditGrant &grant);

private:
    struct Waiting
    {
        boost::asio::steady_timer timer;
        std::optional<QuotaDecision> decision;
    };

    /// Credit of one account at this gateway.
    struct Entry
    {
        std::string name;
        std::shared_ptr<AccountQuota> quota = std::make_shared<AccountQuota>();
        std::unordered_map<AccountQuota::Ticket, Waiting *> waiting;
    };

    /// First two gateways in the order of an account.
    struct Order
    {
        uint64_t generation = 0;
        std::string first;
        std::string second;
        Instant firstSince{};
    };

    /// Rows for one home, by its name and the incarnation of it that the totals refer to.
    using Batch = std::map<std::pair<std::string, uint64_t>, proto::CreditAsk>;

    boost::asio::awaitable<void> tickLoop();
    void tick(Instant now);
    /// Follows the configuration and the live gateways. Returns whether any account has a limit.
    bool refresh(Instant now);
    const ClientAccount *findLimited(uint64_t digest) const;
    const Order &orderOf(uint64_t account, const std::string &name, Instant now);
    void logMove(const std::string &account, const Order &order, const std::string &previous,
                 Instant now);
    HomeStanding standingOf(const Order &order, Instant now) const;
    /// Decides on the waiting requests of an account and sends the asks that are due, at once or
    /// with the batch.
    void advance(uint64_t account, Entry &entry, Instant now, Batch *batch = nullptr);
    void grantLocally(uint64_t account, Entry &entry, const proto::CreditAskRow &row,
                      const Order &order, Instant now);
    void sendAsk(const std::string &home, uint64_t homeIncarnation, proto::CreditAsk ask);

    boost::asio::io_context &context;
    const std::string instance;
    const QuotaBounds bounds;
    const uint64_t incarnation;
    Metrics &metrics;
    Counter &asks;
    Counter &refusals;
    const Peers peers;

    QuotaHome home;
    HomeContacts contacts;
    // Times at which this gateway was last asked in place of a home, by the home.
    std::map<std::string, Instant> substitutedAt;
    // Accounts with requests here. Entries are dropped after a time without any.
    std::unordered_map<uint64_t, std::unique_ptr<Entry>> entries;
    // Accounts that are used here or whose home was asked here; accounts of the configuration only.
    std::unordered_map<uint64_t, Order> orders;
    std::shared_ptr<const FleetConfig> config;
    bool hasLimits = false;
    // Gateways among which homes are chosen, in order of name.
    std::vector<std::string> gateways;
    // Rises with each change of the live gateways.
    uint64_t generation = 0;
    Instant changedAt{};
    // Time of the last comparison of the live gateways; none if the next one is due at once.
    std::optional<Instant> refreshedAt;
    // Moves of homes that were logged since the last change of the live gateways.
    int loggedMoves = 0;
    bool isLeaving = false;
    bool isStopping = false;
};

} // namespace tray
