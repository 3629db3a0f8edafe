// What upstreams ask for in their answers: to be left alone because they are leaving, for a time,
// or beyond a number of requests per second.
#pragma once

#include "base/EnumNames.h"
#include "dispatch/LimitShare.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace tray {

/// Directives in one answer of an upstream.
struct AnswerDirectives
{
    /// The upstream is leaving and takes no new requests.
    bool isLeaving = false;
    /// The upstream takes no requests from this instance for this time.
    std::optional<Duration> retryAfter;
    /// Requests per second that the upstream takes from all instances together.
    std::optional<double> limitPerSecond;
};

enum class DirectiveKind : uint8_t { None, Leaving, RetryAfter, Limit };

template <>
struct EnumNames<DirectiveKind>
{
    static constexpr auto Table = std::to_array<EnumName<DirectiveKind>>({
        {DirectiveKind::None, "none"},
        {DirectiveKind::Leaving, "leaving"},
        {DirectiveKind::RetryAfter, "retry_after"},
        {DirectiveKind::Limit, "limit"},
    });
};

/// Whether an upstream may be sent a request now.
struct DirectiveVerdict
{
    /// The directive that forbids it; None if the request may be sent.
    DirectiveKind forbiddenBy = DirectiveKind::None;
    /// Time until a request may be sent; not set if that is not known.
    std::optional<Duration> allowedIn;

    bool isAllowed() const { return this->forbiddenBy == DirectiveKind::None; }
};

/// Remembers the directives of all upstreams. They apply to one incarnation of an upstream and
/// outlast its absence from the instance list. Not thread-safe.
class UpstreamDirectives
{
public:
    /// Shortest time after the last answer that named a limit until the limit is forgotten: an
    /// instance that may send nothing would never learn that it was withdrawn.
    static constexpr Duration LimitLifetime = std::chrono::seconds(30);
    /// Time for which an upstream counts as leaving. It covers the time for which upstreams go on
    /// after their announcement.
    static constexpr Duration LeavingLifetime = std::chrono::minutes(10);
    /// Above this number of upstreams, the directives of the one that expires first are dropped.
    static constexpr size_t MaxUpstreams = 4000;

    /// Returns the part of an upstream's limit that this instance may use.
    using ShareLookup =
        std::function<LimitShare(const std::string &upstream, double limitPerSecond)>;

    explicit UpstreamDirectives(ShareLookup shareOf = {}) : shareOf(std::move(shareOf)) {}

    /// Records the directives of an answer. An answer without a limit withdraws the limit only if
    /// it is genuine: the upstream's own answer to a request that it has executed. Returns the
    /// directive that is new.
    DirectiveKind noteAnswer(const std::string &upstream, uint64_t startedAtMs,
                             const AnswerDirectives &directives, bool isGenuine, Instant now);
    /// Records a request that is sent to the upstream.
    void noteSent(const std::string &upstream, Instant now);
    DirectiveVerdict verdict(const std::string &upstream, uint64_t startedAtMs, Instant now) const;
    /// Limit of an upstream, in requests per second; not set if it names none.
    std::optional<double> limitOf(const std::string &upstream, Instant now) const;
    /// This instance's part of the limit, in requests per second.
    double shareOfLimit(const std::string &upstream) const;
    /// Adapts the shares to the instances that are known now, and drops expired directives.
    void refresh(Instant now);

private:
    /// Token bucket for this instance's share of a limit; holds at most one request.
    struct Limit
    {
        double perSecond = 0;
        double share = 0;
        // Number of requests that may be sent; below 1 none may.
        double tokens = 0;
        Instant filledAt{};
        Instant namedAt{};
        Instant expiresAt{};

        void setShare(const LimitShare &lookedUp);
        double tokensAt(Instant now) const;
        void fill(Instant now);
    };

    struct Row
    {
        uint64_t startedAtMs = 0;
        Instant leavingUntil{};
        Instant silentUntil{};
        std::optional<Limit> limit;

        bool isExpired(Instant now) const;
    };

    void noteLimit(const std::string &upstream, Row &row, double perSecond, Instant now);
    void evictExcess(Instant now);

    const ShareLookup shareOf;
    std::map<std::string, Row> rows;
};

} // namespace tray
