// Implements the records of the streams that began at this gateway.
#include "gateway/StreamOriginExchange.h"

#include "observe/DecisionLog.h"

#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

void StreamOriginExchange::record(const std::string &requestId, const StreamOrigin &origin,
                                  Instant now)
{
    logDecision(LogPriority::Routine, now,
                fmt::format("event=stream_origin id={} service={} software={} expires_in_ms={}",
                            requestId, origin.service, origin.softwareVersion,
                            toMs(origin.expiresAt - now)));
    this->origins.record(streamDigest(requestId), origin, now);
}

asio::awaitable<std::optional<StreamOrigin>> StreamOriginExchange::findOrigin(std::string requestId,
                                                                              std::string, Instant)
{
    co_return this->origins.find(streamDigest(requestId), clockNow());
}

} // namespace tray
