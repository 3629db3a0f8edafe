// Translation between attempts and the HTTP requests of the upstream.
#pragma once

#include "agent/AttemptRecord.h"
#include "net/HttpMessage.h"

namespace tray {

/// Tokens beyond prompt and answer that an engine may hold for a request, e.g. the end mark.
constexpr uint32_t KvSpareTokens = 2;

/// Id under which the upstream knows the request.
std::string upstreamRequestId(const AttemptRecord &record);

/// Prompt tokens of an attempt: the entry's count, or the engine's estimate if that is higher.
uint32_t promptTokens(const proto::Attempt &attempt);

/// Request to the upstream for an attempt. The version names the model's; empty for a service.
HttpRequest makeUpstreamRequest(const AttemptRecord &record, const std::string &modelVersion);

/// Head of the answer for the entry, without the headers of the connection.
proto::ResponseHead responseHead(int status, const HttpHeaders &headers);

} // namespace tray
