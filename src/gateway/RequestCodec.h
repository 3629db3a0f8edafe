// What the gateway needs to know of requests and answers, free of the headers that carry it.
#pragma once

#include "base/Result.h"
#include "net/HttpMessage.h"

#include "base/Time.h"

#include <optional>
#include <vector>

namespace tray {

/// A part of a prompt. Requests whose prompts begin with the same parts share work on an engine.
struct PromptPart
{
    uint64_t id = 0;
    uint32_t tokens = 0;
};

/// Facts of a caller's request.
struct RequestFacts
{
    std::string id;
    std::string host;
    /// Time for which the caller will wait, if it says so.
    std::optional<Duration> patience;
    /// Both empty for requests that are not for a model.
    std::string model;
    std::string adapter;
    uint32_t promptTokens = 0;
    uint32_t maxOutputTokens = 0;
    /// The caller's guess of the output; often far off.
    uint32_t expectedOutputTokens = 0;
    std::vector<PromptPart> parts;
};

/// How a request is sent to an upstream.
struct Forwarding
{
    Duration timeLeft{};
    std::string upstreamId;
    /// 0 is the most urgent; upstreams take values up to 9.
    int urgency = 5;
    /// Last event that the caller has, if a stream goes on at another upstream.
    std::optional<std::string> resumeAfter;
};

/// Load that an upstream tells with its answers.
struct AnnouncedLoad
{
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
};

/// Facts of an upstream's answer.
struct AnswerFacts
{
    /// Identity of the request that is answered; empty if the answer does not tell.
    std::string requestId;
    /// The upstream signed the answer as its own.
    bool sealed = false;
    /// The upstream says that the request did not run.
    bool notRun = false;
    /// Another upstream has the address, or it lacks what the request needs.
    bool misdirected = false;
    /// The body is not the upstream's plain bytes.
    bool encoded = false;
    std::optional<AnnouncedLoad> load;
};

/// Translates between messages and facts. Decides nothing.
class RequestCodec
{
public:
    virtual ~RequestCodec() = default;

    /// Fails with BadRequest if a header that the gateway relies on cannot be read.
    virtual Result<RequestFacts> decode(const HttpRequest &request) const = 0;
    /// The request as an upstream gets it: same method, target and body.
    virtual HttpRequest forward(const HttpRequest &request, const Forwarding &forwarding) const = 0;
    virtual AnswerFacts inspect(int status, const HttpHeaders &headers) const = 0;
    /// Headers of an upstream's answer that the caller gets.
    virtual HttpHeaders answerHeaders(const HttpHeaders &headers) const = 0;
    /// An answer of the system's own.
    virtual HttpResponse refuse(const std::string &requestId, int status, const std::string &type,
                                const std::string &message,
                                std::optional<Duration> retryAfter) const = 0;
};

} // namespace tray
