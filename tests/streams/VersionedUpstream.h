// Test fixture: a gateway with two upstreams that have software versions and write them into their
// events.
#pragma once

#include "GatewayFixture.h"

namespace tray::test {

inline constexpr int Events = 4;

inline std::string eventOf(std::string_view version, int id)
{
    return fmt::format("id: {}\ndata: {} {}\n\n", id, version, id);
}

/// An upstream whose events name its software version. It breaks off as often as told, each time
/// after two events or after none.
struct VersionedUpstream
{
    std::string version;
    int breaks = 0;
    bool breaksBeforeEvents = false;
    /// Time without events before it breaks off.
    Duration silence{};
    /// Time until it answers.
    Duration delay{};
    /// Crashes on the next request, before an answer, for this time.
    std::optional<Duration> crashFor;

    StubReply reply(const HttpRequest &request)
    {
        StubReply reply;
        reply.delay = this->delay;
        if (this->crashFor) {
            reply.crashFor = std::exchange(this->crashFor, std::nullopt);
            return reply;
        }
        reply.bytes = StubUpstream::sealedStreamHead(request);
        const std::string last(findHeader(request.headers, "Last-Event-Id"));
        int next = last.empty() ? 1 : std::stoi(last) + 1;
        if (this->breaks > 0) {
            --this->breaks;
            const int end = this->breaksBeforeEvents ? next : std::min(next + 2, Events + 1);
            for (; next < end; ++next)
                reply.bytes += StubUpstream::encodeChunk(eventOf(this->version, next));
            reply.reset = true;
            reply.delay = milliseconds(1);
            reply.pieces = {""};
            reply.pieceDelay = this->silence;
            return reply;
        }
        for (; next <= Events; ++next)
            reply.bytes += StubUpstream::encodeChunk(eventOf(this->version, next));
        reply.bytes += "0\r\n\r\n";
        return reply;
    }
};

inline std::string wholeStream(std::string_view version, int first = 1)
{
    std::string text;
    for (int id = first; id <= Events; ++id)
        text += eventOf(version, id);
    return text;
}

/// Upstream i-1, which is asked first, and upstream i-2, each with a software version.
struct VersionFixture
{
    VersionFixture(std::string firstVersion, std::string secondVersion)
        : first{std::move(firstVersion)}, second{std::move(secondVersion)},
          gateway([this](const HttpRequest &request) { return this->first.reply(request); },
                  [this](const HttpRequest &request) { return this->second.reply(request); },
                  std::chrono::seconds(1), GatewaySettings().bodyMemoryBytes,
                  {this->first.version, this->second.version})
    {}

    /// Puts a configuration in force whose callers wait long enough for a gateway's restart, and
    /// whose upstreams may have stewards.
    void allowLongStreams(bool hasStewards)
    {
        std::string text = Config;
        const auto replace = [&](const std::string &part, const std::string &other) {
            REQUIRE(text.find(part) != std::string::npos);
            text.replace(text.find(part), part.size(), other);
        };
        replace(R"("version":1)", R"("version":2)");
        replace(R"("timeout_ms":1500,"max_attempts":2,"resumable":true)",
                R"("timeout_ms":20000,"max_attempts":2,"resumable":true)");
        if (hasStewards)
            replace(R"("name":"shop",)",
                    R"("name":"shop","engine":{"slots":64,"kv_cache_tokens":100000,)"
                    R"("weights_mb":100000,"adapter_slots":4,"loads_per_s":1,"models":[]},)");
        this->gateway.store.put("config", "main", text);
        this->gateway.runFor(milliseconds(800));
    }

    /// Lists an incarnation of an upstream.
    void listUpstream(const std::string &id, const Address &address, std::string_view version,
                      uint64_t startedAtMs)
    {
        this->gateway.store.put(
            "servers", id,
            fmt::format(R"({{"service":"shop","address":"{}","zone":"{}","slots":4,)"
                        R"("state":"ready","sequence":1,"models":[],"version":"{}","born":{}}})",
                        toString(address), id == "i-1" ? "here" : "there", version, startedAtMs));
    }

    /// Takes up the stream of an earlier request after an event.
    Result<HttpResponse> takeUp(const std::string &requestId, const std::string &resumed,
                                int lastEvent)
    {
        this->gateway.requestId = requestId;
        HttpHeaders headers{{"Last-Event-Id", std::to_string(lastEvent)}};
        if (!resumed.empty())
            headers.emplace_back("Resumes", resumed);
        return this->gateway.send("/retell/1", headers);
    }

    VersionedUpstream first;
    VersionedUpstream second;
    GatewayFixture gateway;
};

inline std::string bodyOf(const Result<HttpResponse> &answer)
{
    return isOk(answer) ? value(answer).body : "";
}

inline int statusOf(const Result<HttpResponse> &answer)
{
    return isOk(answer) ? value(answer).status : 0;
}

} // namespace tray::test
