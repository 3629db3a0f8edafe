// Keeps directives for as long as they apply.
#include "dispatch/UpstreamDirectives.h"

#include <algorithm>
#include <cmath>

namespace tray {

namespace {

// Requests that a share may save up. Every instance may spend its savings at the same time, so the
// savings of all of them have to be small beside the limit.
constexpr double MaxTokens = 1;

} // namespace

void UpstreamDirectives::Limit::setShare(const LimitShare &lookedUp)
{
    this->share = lookedUp.perSecond;
    const Duration lifetime =
        this->share > 0 ? LimitLifetime : std::max(LimitLifetime, lookedUp.recheckAfter);
    this->expiresAt = this->namedAt + lifetime;
}

double UpstreamDirectives::Limit::tokensAt(Instant now) const
{
    const double seconds = std::chrono::duration<double>(now - this->filledAt).count();
    return std::min(MaxTokens, this->tokens + std::max(0.0, seconds) * this->share);
}

void UpstreamDirectives::Limit::fill(Instant now)
{
    this->tokens = this->tokensAt(now);
    this->filledAt = now;
}

bool UpstreamDirectives::Row::isExpired(Instant now) const
{
    return now >= this->leavingUntil && now >= this->silentUntil &&
           (!this->limit || now >= this->limit->expiresAt);
}

DirectiveKind UpstreamDirectives::noteAnswer(const std::string &upstream, uint64_t startedAtMs,
                                             const AnswerDirectives &directives, bool isGenuine,
                                             Instant now)
{
    const bool hasDirectives =
        directives.isLeaving || directives.retryAfter || directives.limitPerSecond;
    auto found = this->rows.find(upstream);
    if (found == this->rows.end()) {
        if (!hasDirectives)
            return DirectiveKind::None;
        this->evictExcess(now);
        found = this->rows.try_emplace(upstream).first;
        found->second.startedAtMs = startedAtMs;
    }
    auto &row = found->second;
    // An answer of the previous incarnation says nothing about the present one.
    if (startedAtMs < row.startedAtMs)
        return DirectiveKind::None;
    if (startedAtMs > row.startedAtMs) {
        row = {};
        row.startedAtMs = startedAtMs;
    }
    auto news = DirectiveKind::None;
    if (directives.limitPerSecond) {
        const auto before = this->limitOf(upstream, now);
        this->noteLimit(upstream, row, *directives.limitPerSecond, now);
        if (before != directives.limitPerSecond)
            news = DirectiveKind::Limit;
    } else if (isGenuine && row.limit) {
        row.limit.reset();
        news = DirectiveKind::Limit;
    }
    if (directives.retryAfter) {
        row.silentUntil = std::max(row.silentUntil, now + *directives.retryAfter);
        news = DirectiveKind::RetryAfter;
    }
    if (directives.isLeaving) {
        if (now >= row.leavingUntil)
            news = DirectiveKind::Leaving;
        row.leavingUntil = now + LeavingLifetime;
    }
    return news;
}

void UpstreamDirectives::noteLimit(const std::string &upstream, Row &row, double perSecond,
                                   Instant now)
{
    if (!row.limit || now >= row.limit->expiresAt) {
        row.limit = Limit();
        row.limit->filledAt = now;
    }
    auto &limit = *row.limit;
    limit.namedAt = now;
    limit.fill(now);
    limit.perSecond = perSecond;
    limit.setShare(this->shareOf ? this->shareOf(upstream, perSecond) : LimitShare{perSecond, {}});
}

void UpstreamDirectives::noteSent(const std::string &upstream, Instant now)
{
    const auto found = this->rows.find(upstream);
    if (found == this->rows.end() || !found->second.limit)
        return;
    found->second.limit->fill(now);
    found->second.limit->tokens -= 1;
}

DirectiveVerdict UpstreamDirectives::verdict(const std::string &upstream, uint64_t startedAtMs,
                                             Instant now) const
{
    const auto found = this->rows.find(upstream);
    if (found == this->rows.end() || found->second.startedAtMs != startedAtMs)
        return {};
    const auto &row = found->second;
    if (now < row.leavingUntil)
        return {DirectiveKind::Leaving, std::nullopt};
    if (now < row.silentUntil)
        return {DirectiveKind::RetryAfter, row.silentUntil - now};
    if (!row.limit || now >= row.limit->expiresAt)
        return {};
    const double missing = 1 - row.limit->tokensAt(now);
    if (missing <= 0)
        return {};
    const Duration untilExpiry = row.limit->expiresAt - now;
    const double seconds = missing / row.limit->share;
    if (!(seconds < std::chrono::duration<double>(untilExpiry).count()))
        return {DirectiveKind::Limit, untilExpiry};
    return {DirectiveKind::Limit, milliseconds(static_cast<int64_t>(std::ceil(seconds * 1000)))};
}

std::optional<double> UpstreamDirectives::limitOf(const std::string &upstream, Instant now) const
{
    const auto found = this->rows.find(upstream);
    if (found == this->rows.end() || !found->second.limit || now >= found->second.limit->expiresAt)
        return std::nullopt;
    return found->second.limit->perSecond;
}

double UpstreamDirectives::shareOfLimit(const std::string &upstream) const
{
    const auto found = this->rows.find(upstream);
    return found == this->rows.end() || !found->second.limit ? 0 : found->second.limit->share;
}

void UpstreamDirectives::refresh(Instant now)
{
    std::erase_if(this->rows, [&](const auto &item) { return item.second.isExpired(now); });
    if (!this->shareOf)
        return;
    for (auto &[upstream, row] : this->rows) {
        if (!row.limit)
            continue;
        row.limit->fill(now);
        row.limit->setShare(this->shareOf(upstream, row.limit->perSecond));
    }
}

void UpstreamDirectives::evictExcess(Instant now)
{
    if (this->rows.size() < MaxUpstreams)
        return;
    const auto endOf = [&](const Row &row) {
        return std::max(
            {row.leavingUntil, row.silentUntil, row.limit ? row.limit->expiresAt : now});
    };
    this->rows.erase(std::min_element(this->rows.begin(), this->rows.end(),
                                      [&](const auto &left, const auto &right) {
                                          return endOf(left.second) < endOf(right.second);
                                      }));
}

} // namespace tray
