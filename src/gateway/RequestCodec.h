// Properties of requests and responses that the gateway relies on, and the interface that
// translates them from and to messages. The gateway itself depends on no header names or formats.
#pragma once

#include "base/Result.h"
#include "dispatch/PromptPart.h"
#include "dispatch/UpstreamDirectives.h"
#include "net/HttpMessage.h"

#include "base/Time.h"

#include <optional>
#include <vector>

namespace tray {

/// Properties of a caller's request.
struct RequestProperties
{
    std::string requestId;
    std::string host;
    /// The caller's timeout, if the request states one.
    std::optional<Duration> timeout;
    /// Model and adapter; both are empty if the request is not for a model.
    std::string model;
    std::string adapter;
    uint32_t promptTokens = 0;
    uint32_t maxOutputTokens = 0;
    /// Prompt and maximum output tokens together; not set if the request does not state them.
    std::optional<uint64_t> tokenUsage;
    /// Key of a client account; empty if the request has none, or more than one.
    std::string accountKey;
    /// Number of output tokens that the caller estimates; often inaccurate.
    uint32_t expectedOutputTokens = 0;
    std::vector<PromptPart> promptParts;
    /// Whether the caller has events of the stream already and asks for those that come after.
    bool continuesStream = false;
    /// Id of the caller's attempt that brought the first event of the stream that it continues;
    /// empty if it names none.
    std::string resumedRequestId;
};

/// Parameters of a request that is sent to an upstream.
struct ForwardOptions
{
    Duration timeLeft{};
    std::string upstreamId;
    /// Priority from 0 (served first) to 9, the range that upstreams accept.
    int priority = 5;
    /// Id of the last event that the caller received, if a stream resumes at another upstream.
    std::optional<std::string> resumeAfterEventId;
    /// The configuration has client accounts, so that callers' keys and account names are dropped.
    bool hasAccounts = false;
    /// Name of the client account for which the request is made; empty if there is none.
    std::string account;
};

/// Load that an upstream reports with its responses.
struct ReportedLoad
{
    /// Whether the numbers of running and waiting requests could be read.
    bool hasCounts = false;
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
    /// Time that work takes on the upstream's machine now, in percent of the usual time; 0 if it is
    /// not reported.
    uint32_t pacePercent = 0;
};

/// Properties of an upstream's response.
struct ResponseProperties
{
    /// Id of the request that the response belongs to; empty if the response does not state it.
    std::string requestId;
    /// Whether the upstream marked the response as its own.
    bool hasSeal = false;
    /// Whether the upstream reports that it did not execute the request.
    bool isNotExecuted = false;
    /// Whether the address belongs to another upstream now, or the upstream lacks what the request
    /// needs.
    bool isMisdirected = false;
    /// Whether the body has a content encoding, so that it is not the upstream's plain bytes.
    bool isEncoded = false;
    /// Whether the body can be a stream of events: it has that type, or none is stated.
    bool isEventStream = false;
    /// Whether the response states that its body is a stream of events.
    bool statesEventStream = false;
    std::optional<ReportedLoad> load;
    AnswerDirectives directives;
    /// Describes directives that cannot be read and are ignored; empty if there are none.
    std::string malformedDirective;
};

/// Translates between HTTP messages and their properties. Makes no routing decisions.
class RequestCodec
{
public:
    virtual ~RequestCodec() = default;

    /// Returns the properties of a request. Fails with BadRequest if a header that the gateway
    /// relies on cannot be parsed.
    virtual Result<RequestProperties> decodeRequest(const HttpRequest &request) const = 0;
    /// Returns the request to send to an upstream, with the same method, target and body.
    virtual HttpRequest makeUpstreamRequest(const HttpRequest &request,
                                            const ForwardOptions &forwardOptions) const = 0;
    /// Returns the properties of an upstream's response.
    virtual ResponseProperties decodeResponse(int status, const HttpHeaders &headers) const = 0;
    /// Returns whether a response with this status tells a caller that its request was not executed
    /// and never will be.
    virtual bool statesNotExecuted(int status) const = 0;
    /// Returns the headers of an upstream's response that are passed on to the caller.
    virtual HttpHeaders makeCallerHeaders(const HttpHeaders &headers) const = 0;
    /// Returns an error response that the gateway itself generates.
    virtual HttpResponse makeErrorResponse(const std::string &requestId, int status,
                                           const std::string &type, const std::string &message,
                                           std::optional<Duration> retryAfter) const = 0;
};

} // namespace tray
