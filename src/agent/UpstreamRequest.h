// Converts attempts to HTTP requests for the upstream, and the upstream's response heads to frames.
#pragma once

#include "agent/AttemptRecord.h"
#include "net/HttpMessage.h"

namespace tray {

/// Tokens that an engine may hold for a request in addition to prompt and answer, e.g. the end
/// marker.
constexpr uint32_t KvExtraTokens = 2;

/// Request id that is sent to the upstream.
std::string upstreamRequestId(const AttemptRecord &record);

/// Prompt tokens of an attempt: the count that the entry instance sent, or the engine's estimate of
/// one token per 4 bytes of the body if that is higher.
uint32_t promptTokens(const proto::Attempt &attempt);

/// Creates the request to the upstream for an attempt. The model version is empty for a service.
HttpRequest makeUpstreamRequest(const AttemptRecord &record, const std::string &modelVersion);

/// Creates the response head for the entry, without the headers that are not forwarded.
proto::ResponseHead responseHead(int status, const HttpHeaders &headers);

} // namespace tray
