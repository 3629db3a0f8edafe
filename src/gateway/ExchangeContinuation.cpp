// Binds a stream to the software version that began it, within one response and over the attempts
// of a caller.
#include "gateway/Exchange.h"
#include "observe/LogText.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Time for which an origin is kept beyond the caller's patience, as clocks and callers are late.
constexpr Duration OriginLifetimeMargin = std::chrono::seconds(5);

} // namespace

asio::awaitable<bool> Exchange::resolveStreamVersion()
{
    if (!this->properties.continuesStream || this->route->kind != RouteKind::Streaming)
        co_return true;
    const Instant beganAt = clockNow();
    const Instant limit =
        std::min<Instant>(this->deadline, beganAt + StreamOriginExchange::MaxSearchTime);
    // An unknown stream may be of any of the route's services.
    const bool isOnlyService = this->route->services.size() == 1;
    const auto origin = co_await this->gateway.streamOrigins.findOrigin(
        this->properties.resumedRequestId, this->service, isOnlyService, limit);
    const bool isUsable =
        origin && std::any_of(this->route->services.begin(), this->route->services.end(),
                              [&](const auto &share) { return share.service == origin->service; });
    logDecision(
        LogPriority::Notable, clockNow(),
        fmt::format("event=stream_taken_up id={} resumes={} service={} software={} known={} "
                    "usable={} ms={}",
                    LogText{this->properties.requestId}, LogText{this->properties.resumedRequestId},
                    LogText{origin ? origin->service : ""},
                    LogText{origin ? origin->softwareVersion : ""}, origin.has_value(), isUsable,
                    toMs(clockNow() - beganAt)));
    if (!isUsable) {
        co_await this->finishWithError(ErrorKind::CannotContinue,
                                       "it is not known which upstreams can continue the stream");
        co_return false;
    }
    this->service = origin->service;
    this->streamVersion = origin->softwareVersion;
    co_return true;
}

std::optional<std::string> Exchange::findAnsweringVersion() const
{
    const auto &dispatcher = this->gateway.dispatcher;
    // A response comes from the process to which its connection was made, so it stays what it is
    // if the upstream restarts later.
    if (this->firstByteAt &&
        dispatcher.isAnswerOf(this->lastUpstream, this->attemptStartedAtMs, *this->firstByteAt))
        return this->attemptVersion;
    if (dispatcher.isIncarnationDoubtful(this->lastUpstream))
        return std::nullopt;
    const auto &entries = this->gateway.directory.entries();
    const auto entry = entries.find(this->lastUpstream);
    if (entry != entries.end() && entry->second.startedAtMs != this->attemptStartedAtMs &&
        entry->second.softwareVersion != this->attemptVersion)
        return std::nullopt;
    return this->attemptVersion;
}

bool Exchange::bindStream(Instant now)
{
    if (this->isAttemptContinuation) {
        this->isStreamVersionLost = this->findAnsweringVersion() != this->streamVersion;
        return !this->isStreamVersionLost;
    }
    if (this->isContinuation() || this->isStreamVersionLost || !this->eventSplitter.hasEvents())
        return true;
    this->streamVersion = this->findAnsweringVersion();
    this->isStreamVersionLost = !this->streamVersion.has_value();
    this->recordOrigin(this->streamVersion.value_or(""), now);
    return true;
}

void Exchange::recordOrigin(const std::string &softwareVersion, Instant now)
{
    if (!this->route->resumable)
        return;
    // The caller may go on for as long as it said, whatever the route's timeout.
    const Duration patience =
        std::max(this->properties.timeout.value_or(this->route->timeout), this->route->timeout);
    this->gateway.streamOrigins.record(
        this->properties.requestId,
        {this->service, softwareVersion, this->arrived + patience + OriginLifetimeMargin}, now);
}

void Exchange::handleUpstreamRestart(const std::string &upstreamId, Instant now)
{
    if (this->phase != ExchangePhase::RelayingResponse || this->lastUpstream != upstreamId ||
        !this->isContinuation())
        return;
    const bool isKept = this->findAnsweringVersion().has_value();
    logDecision(
        LogPriority::Notable, now,
        fmt::format("event=stream_version_{} id={} upstream={} software={} answer_age_ms={}",
                    isKept ? "kept" : "lost", LogText{this->properties.requestId},
                    LogText{upstreamId}, LogText{*this->streamVersion},
                    this->firstByteAt ? toMs(now - *this->firstByteAt) : -1));
    if (isKept)
        return;
    this->isStreamVersionLost = true;
    if (!this->properties.continuesStream)
        this->recordOrigin("", now);
    // Events of this attempt may not fit the earlier ones.
    if (this->isAttemptContinuation && this->attemptCancel)
        this->attemptCancel->cancel();
}

} // namespace tray
