#include "agent/UpstreamRequest.h"

#include "base/Hash.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace tray {

namespace {

// Headers that are not forwarded: those that apply to one connection, and the host and credentials
// of the previous hop.
constexpr auto UnforwardedHeaders = std::to_array<std::string_view>(
    {"connection", "content-length", "transfer-encoding", "keep-alive", "te", "trailer", "upgrade",
     "host", "expect", "proxy-authorization", "authorization"});
// Headers that this process sets itself; a caller's values are dropped.
constexpr auto OwnHeaders =
    std::to_array<std::string_view>({"x-request-id", "x-priority", "x-model-version", "x-adapter"});

template <typename Names>
bool isOneOf(const Names &names, std::string_view header)
{
    std::string lower(header);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return std::find(names.begin(), names.end(), lower) != names.end();
}

} // namespace

std::string upstreamRequestId(const AttemptRecord &record)
{
    return toHex(record.id.requestId);
}

uint32_t promptTokens(const proto::Attempt &attempt)
{
    return std::max(attempt.prompt_tokens(), static_cast<uint32_t>(attempt.body().size() / 4));
}

HttpRequest makeUpstreamRequest(const AttemptRecord &record, const std::string &modelVersion)
{
    const auto &attempt = record.attempt;
    HttpRequest request;
    request.method = attempt.method().empty() ? "POST" : attempt.method();
    request.target = attempt.target();
    for (const auto &header : attempt.headers()) {
        if (!isOneOf(UnforwardedHeaders, header.name()) && !isOneOf(OwnHeaders, header.name()))
            request.headers.emplace_back(header.name(), header.value());
    }
    request.headers.emplace_back("X-Request-Id", upstreamRequestId(record));
    if (!attempt.model().empty()) {
        request.headers.emplace_back("X-Priority", std::to_string(attempt.tier_rank()));
        request.headers.emplace_back("X-Model-Version", modelVersion);
    }
    if (!attempt.adapter().empty())
        request.headers.emplace_back("X-Adapter", attempt.adapter());
    request.body = attempt.body();
    return request;
}

proto::ResponseHead responseHead(int status, const HttpHeaders &headers)
{
    proto::ResponseHead head;
    head.set_status(static_cast<uint32_t>(status));
    for (const auto &[name, text] : headers) {
        if (isOneOf(UnforwardedHeaders, name))
            continue;
        auto *header = head.add_headers();
        header->set_name(name);
        header->set_value(text);
    }
    return head;
}

} // namespace tray
