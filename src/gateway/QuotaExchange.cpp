// Implements the messages between gateways and homes, and the waits of requests.
#include "gateway/QuotaExchange.h"

#include "base/BootClock.h"
#include "base/Hash.h"
#include "net/KeepRunning.h"
#include "net/Pause.h"
#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Interval at which asks that are due are sent; several times shorter than QuotaHome::PauseTime.
constexpr Duration TickPeriod = milliseconds(100);
// Interval at which the configuration is checked while no account has a limit.
constexpr Duration IdleTickPeriod = milliseconds(300);
// Interval at which the live gateways are compared with the last ones.
constexpr Duration RefreshPeriod = milliseconds(500);
// Time after the last ask in place of a home for which that home is probed.
constexpr Duration SubstituteProbeTime = std::chrono::seconds(1);
// Rows of one datagram; each takes up to 40 bytes.
constexpr int MaxRows = 200;
// Asks for one account in one step: a local home answers at once, and each answer may decide on
// waiting requests and make another ask due.
constexpr int MaxAsksPerStep = 16;
// Moves of homes that are logged for one change of the live gateways.
constexpr int MaxLoggedMoves = 10;
// Retry-After has this precision; it is rounded up, so that a request that comes again at that time
// does not come too early.
constexpr Duration RetryPrecision = milliseconds(10);

Duration roundUp(Duration duration)
{
    return (duration / RetryPrecision + 1) * RetryPrecision;
}

} // namespace

QuotaExchange::QuotaExchange(asio::io_context &context, std::string instance, QuotaBounds bounds,
                             Metrics &metrics, Peers peers)
    : context(context), instance(std::move(instance)), bounds(bounds), incarnation(newNonce()),
      metrics(metrics), asks(metrics.counter("tray_gateway_quota_asks_total")),
      refusals(metrics.counter("tray_gateway_quota_refusals_total")), peers(std::move(peers)),
      home(bounds)
{}

void QuotaExchange::start()
{
    this->metrics.gauge("tray_gateway_quota_homes",
                        [this] { return static_cast<double>(this->home.countActive()); });
    keepRunning(this->context, "quota_loop", [this] { return this->tickLoop(); });
}

void QuotaExchange::leave()
{
    this->isLeaving = true;
    this->notePeersChanged();
}

asio::awaitable<void> QuotaExchange::tickLoop()
{
    while (!this->isStopping) {
        const Instant now = bootNow();
        const bool isNeeded = this->refresh(now);
        if (isNeeded)
            this->tick(now);
        co_await pauseFor(isNeeded ? TickPeriod : IdleTickPeriod);
    }
}

bool QuotaExchange::refresh(Instant now)
{
    const auto current = this->peers.config();
    if (current != this->config) {
        this->config = current;
        const auto *accounts = current ? current->accounts.get() : nullptr;
        this->hasLimits =
            accounts != nullptr &&
            std::any_of(accounts->accounts().begin(), accounts->accounts().end(),
                        [](const auto &account) { return account.quota.isLimited(); });
        const auto isLimited = [&](uint64_t digest) {
            return this->findLimited(digest) != nullptr;
        };
        this->home.retain(isLimited);
        std::erase_if(this->orders, [&](const auto &item) { return !isLimited(item.first); });
        std::erase_if(this->entries, [&](const auto &item) {
            return item.second->waiting.empty() && !isLimited(item.first);
        });
    }
    if (!this->hasLimits)
        return false;
    if (this->refreshedAt && now < *this->refreshedAt + RefreshPeriod)
        return true;
    this->refreshedAt = now;
    auto live = this->peers.livePeers();
    live.push_back({this->instance, this->isLeaving});
    auto candidates = selectHomeCandidates(live);
    if (candidates != this->gateways) {
        this->gateways = std::move(candidates);
        ++this->generation;
        this->changedAt = now;
        this->loggedMoves = 0;
    }
    return true;
}

const ClientAccount *QuotaExchange::findLimited(uint64_t digest) const
{
    if (!this->config || !this->config->accounts)
        return nullptr;
    const auto *account = this->config->accounts->findByDigest(digest);
    return account != nullptr && account->quota.isLimited() ? account : nullptr;
}

const QuotaExchange::Order &QuotaExchange::orderOf(uint64_t account, const std::string &name,
                                                   Instant now)
{
    Order &order = this->orders[account];
    if (order.generation == this->generation)
        return order;
    uint64_t firstWeight = 0;
    uint64_t secondWeight = 0;
    const std::string *first = nullptr;
    const std::string *second = nullptr;
    for (const auto &gateway : this->gateways) {
        const uint64_t weight = rendezvousWeight(name, gateway);
        if (first == nullptr || weight > firstWeight) {
            second = first;
            secondWeight = firstWeight;
            first = &gateway;
            firstWeight = weight;
        } else if (second == nullptr || weight > secondWeight) {
            second = &gateway;
            secondWeight = weight;
        }
    }
    const std::string previous = order.first;
    order.generation = this->generation;
    order.first = *first;
    order.second = second == nullptr ? "" : *second;
    if (order.first != previous) {
        order.firstSince = this->changedAt;
        this->logMove(name, order, previous, now);
    }
    return order;
}

void QuotaExchange::logMove(const std::string &account, const Order &order,
                            const std::string &previous, Instant now)
{
    const bool isOwn = order.first == this->instance;
    if (previous.empty() || isOwn == (previous == this->instance) ||
        ++this->loggedMoves > MaxLoggedMoves)
        return;
    logDecision(LogPriority::Notable, now,
                fmt::format("event=quota_home account={} home={} previous={} gateways={}{}",
                            LogText{account}, order.first, previous, this->gateways.size(),
                            this->loggedMoves == MaxLoggedMoves ? " further=not_logged" : ""));
}

HomeStanding QuotaExchange::standingOf(const Order &order, Instant now) const
{
    return {order.first == this->instance, order.firstSince,
            this->contacts.isSilent(order.first, now)};
}

void QuotaExchange::tick(Instant now)
{
    this->home.tick(now);
    for (auto item = this->substitutedAt.begin(); item != this->substitutedAt.end();) {
        if (now >= item->second + SubstituteProbeTime) {
            item = this->substitutedAt.erase(item);
            continue;
        }
        // An ask without rows is a probe.
        if (this->contacts.startProbe(item->first, now))
            this->sendAsk(item->first, 0, {});
        ++item;
    }
    Batch batch;
    for (auto &[account, entry] : this->entries)
        this->advance(account, *entry, now, &batch);
    for (auto &[home, ask] : batch)
        this->sendAsk(home.first, home.second, std::move(ask));
    std::erase_if(this->entries, [&](const auto &item) {
        return item.second->waiting.empty() && item.second->quota->credit.isIdle(now);
    });
}

void QuotaExchange::sendAsk(const std::string &home, uint64_t homeIncarnation, proto::CreditAsk ask)
{
    proto::Datagram datagram;
    *datagram.mutable_credit_ask() = std::move(ask);
    datagram.mutable_credit_ask()->set_incarnation(this->incarnation);
    datagram.mutable_credit_ask()->set_home_incarnation(homeIncarnation);
    this->peers.sendToPeer(datagram, home);
}

void QuotaExchange::grantLocally(uint64_t account, Entry &entry, const proto::CreditAskRow &row,
                                 const Order &order, Instant now)
{
    const auto *limited = this->findLimited(account);
    if (limited == nullptr)
        return;
    auto &credit = entry.quota->credit;
    const CreditAsker asker{this->instance, this->incarnation,
                            credit.homeIncarnation(this->instance) == this->incarnation};
    const auto grant =
        this->home.ask(asker, row, limited->quota, this->standingOf(order, now), now);
    if (grant)
        credit.handleGrant(this->instance, this->incarnation, *grant, now);
}

void QuotaExchange::advance(uint64_t account, Entry &entry, Instant now, Batch *batch)
{
    const Order &order = this->orderOf(account, entry.name, now);
    auto &quota = *entry.quota;
    for (int step = 0; step < MaxAsksPerStep; ++step) {
        for (auto &[ticket, decision] : quota.decideWaiting(now)) {
            const auto waiting = entry.waiting.find(ticket);
            if (waiting == entry.waiting.end())
                continue;
            waiting->second->decision = std::move(decision);
            waiting->second->timer.cancel();
        }
        const auto target = quota.findHomeToAsk(order.first, order.second, now);
        if (!target)
            return;
        const uint64_t known = quota.credit.homeIncarnation(*target);
        proto::CreditAskRow row = quota.makeAsk(*target, now);
        row.set_account(account);
        this->asks.add();
        if (*target == this->instance) {
            this->grantLocally(account, entry, row, order, now);
            continue;
        }
        if (batch == nullptr) {
            proto::CreditAsk ask;
            *ask.add_rows() = std::move(row);
            this->sendAsk(*target, known, std::move(ask));
            return;
        }
        auto &ask = (*batch)[{*target, known}];
        *ask.add_rows() = std::move(row);
        if (ask.rows_size() >= MaxRows)
            this->sendAsk(*target, known, std::exchange(ask, {}));
        return;
    }
}

asio::awaitable<std::variant<QuotaLease, QuotaRefusal>>
QuotaExchange::acquire(const ClientAccount &account, uint64_t cost)
{
    const Instant now = bootNow();
    this->refresh(now);
    auto &place = this->entries[account.digest];
    if (!place) {
        place = std::make_unique<Entry>();
        place->name = account.name;
    }
    // Entries with waiting requests are not dropped.
    Entry &entry = *place;
    auto decision = entry.quota->decide(cost, account.quota, this->bounds, now);
    if (decision) {
        this->advance(account.digest, entry, now);
    } else {
        Waiting waiting{asio::steady_timer(this->context), std::nullopt};
        const auto ticket = entry.quota->enqueue(cost, now);
        entry.waiting.emplace(ticket, &waiting);
        this->advance(account.digest, entry, now);
        while (!waiting.decision) {
            waiting.timer.expires_after(QuotaCredit::ResendInterval);
            co_await waiting.timer.async_wait(asio::as_tuple(asio::use_awaitable));
            if (!waiting.decision)
                this->advance(account.digest, entry, bootNow());
        }
        entry.waiting.erase(ticket);
        decision = std::move(waiting.decision);
    }
    if (decision->verdict == QuotaVerdict::Granted)
        co_return QuotaLease(entry.quota, std::move(decision->charge));
    const bool isExceeded = decision->verdict == QuotaVerdict::Exceeded;
    if (isExceeded)
        this->refusals.add();
    co_return QuotaRefusal{isExceeded ? ErrorKind::QuotaExceeded : ErrorKind::QuotaUnavailable,
                           roundUp(decision->retryAfter)};
}

void QuotaExchange::handleAsk(const std::string &sender, const Address &address,
                              const proto::CreditAsk &ask)
{
    const Instant now = bootNow();
    this->contacts.handleMessage(sender, now);
    // Without a configuration that has limits, the ask comes from a gateway that is ahead.
    if (!this->refresh(now))
        return;
    proto::Datagram datagram;
    auto *answer = datagram.mutable_credit_grant();
    answer->set_incarnation(ask.incarnation());
    answer->set_home_incarnation(this->incarnation);
    const CreditAsker asker{sender, ask.incarnation(), ask.home_incarnation() == this->incarnation};
    for (const auto &row : ask.rows()) {
        const auto *account = this->findLimited(row.account());
        if (account == nullptr)
            continue;
        const Order &order = this->orderOf(row.account(), account->name, now);
        if (order.first != this->instance)
            this->substitutedAt[order.first] = now;
        auto grant = this->home.ask(asker, row, account->quota, this->standingOf(order, now), now);
        if (grant)
            *answer->add_rows() = std::move(*grant);
    }
    if (answer->rows_size() > 0 || ask.rows_size() == 0)
        this->peers.sendTo(datagram, address);
}

void QuotaExchange::handleGrant(const std::string &sender, const proto::CreditGrant &grant)
{
    const Instant now = bootNow();
    this->contacts.handleMessage(sender, now);
    if (grant.incarnation() != this->incarnation || !this->refresh(now))
        return;
    for (const auto &row : grant.rows()) {
        const auto found = this->entries.find(row.account());
        if (found == this->entries.end())
            continue;
        auto &entry = *found->second;
        if (entry.quota->credit.handleGrant(sender, grant.home_incarnation(), row, now))
            this->advance(row.account(), entry, now);
    }
}

} // namespace tray
