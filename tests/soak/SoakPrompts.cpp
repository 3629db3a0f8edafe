// Prompts of a soak of which some have a part that crashes upstreams, and the checks on them.
#include "soak/Soak.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray::test {

namespace {

constexpr auto PromptHeader = "Marjoramtray-Prompt-Prefix";
constexpr auto DeadlyPart = "dead:40";
// Bounds of the platform's rules: crashes from which the time to learn of them counts, and requests
// that may reach upstreams afterwards.
constexpr size_t MaxCrashes = 5;
constexpr size_t MaxSentAfterwards = 3;
// Smallest number of sound requests in a period from which their rate is judged.
constexpr int MinSoundPrompts = 20;
// One of this number of prompts has the deadly part.
constexpr int PromptsPerDeadlyOne = 12;
constexpr int FirstParts = 3;
constexpr int SessionParts = 40;

} // namespace

std::vector<Soak::Fault> Soak::planGatewayFaults(uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    constexpr auto Kinds =
        std::to_array({FaultKind::KillGateway, FaultKind::StopGateway, FaultKind::PauseGateway,
                       FaultKind::CutStore, FaultKind::CompactHistory, FaultKind::ChangeConfig});
    constexpr Duration LongestFault = milliseconds(1000);
    std::vector<Fault> faults;
    for (Duration at = DeadlyPartStart; at < DeadlyPartFaultsEnd - LongestFault - StableTime;) {
        Fault fault;
        at += milliseconds(draw(100, 1200));
        fault.at = at;
        fault.kind = Kinds[static_cast<size_t>(draw(0, static_cast<int>(Kinds.size()) - 1))];
        fault.gateway = draw(0, Gateways - 1);
        fault.length = milliseconds(draw(100, static_cast<int>(toMs(LongestFault))));
        faults.push_back(fault);
    }
    return faults;
}

bool Soak::isDeadlyPartKnown(Instant now) const
{
    const size_t crashes = std::min(this->deadlyArrivals.size(), MaxCrashes);
    if (crashes == 0 || this->callersStartedAt == Instant{})
        return false;
    const Instant learnFrom =
        std::max(this->callersStartedAt + DeadlyPartFaultsEnd, this->deadlyArrivals[crashes - 1]);
    return now > learnFrom + StableTime;
}

void Soak::addPrompt(HttpRequest &request)
{
    const Instant now = clockNow();
    const bool hasBegun =
        this->callersStartedAt != Instant{} && now > this->callersStartedAt + DeadlyPartStart;
    const bool isDeadly = hasBegun && this->drawInt(1, PromptsPerDeadlyOne) == 1;
    std::string prompt = fmt::format("f{}:300", this->drawInt(1, FirstParts));
    if (isDeadly)
        prompt += fmt::format(",{}", DeadlyPart);
    prompt += fmt::format(",5e{:x}:100,{:x}:20", this->drawInt(1, SessionParts),
                          0x10000 + this->nextRequest);
    request.headers.emplace_back(PromptHeader, prompt);
    if (isDeadly)
        return;
    if (!hasBegun)
        ++this->soundBefore.sent;
    else if (this->isDeadlyPartKnown(now))
        ++this->soundAfter.sent;
}

bool Soak::countPrompt(const HttpRequest &request)
{
    const auto prompt = findHeader(request.headers, PromptHeader);
    if (prompt.empty())
        return false;
    const Instant now = clockNow();
    if (prompt.find(DeadlyPart) != std::string_view::npos) {
        this->deadlyArrivals.push_back(now);
        return true;
    }
    // A stream that resumes began before.
    if (!findHeader(request.headers, "Last-Event-Id").empty())
        return false;
    if (this->callersStartedAt == Instant{} || now < this->callersStartedAt + DeadlyPartStart)
        ++this->soundBefore.received;
    else if (this->isDeadlyPartKnown(now))
        ++this->soundAfter.received;
    return false;
}

StubReply Soak::crashOn(const HttpRequest &request)
{
    StubReply reply;
    reply.bytes = StubUpstream::sealedStreamHead(request) +
                  StubUpstream::encodeChunk("id: 1\ndata: piece 1\n\n");
    reply.crashDelay = milliseconds(this->drawInt(0, 150));
    reply.crashFor = milliseconds(this->drawInt(200, 900));
    this->logEvent("an upstream crashes on a prompt part");
    return reply;
}

void Soak::checkPrompts()
{
    if (this->deadlyArrivals.empty()) {
        this->recordViolation("no request with the deadly part reached an upstream");
        return;
    }
    const auto late =
        static_cast<size_t>(std::count_if(this->deadlyArrivals.begin(), this->deadlyArrivals.end(),
                                          [&](Instant at) { return this->isDeadlyPartKnown(at); }));
    this->logEvent(fmt::format(
        "deadly requests: {}, of these late: {}; sound ones: {} of {} before, {} of {} after",
        this->deadlyArrivals.size(), late, this->soundBefore.received, this->soundBefore.sent,
        this->soundAfter.received, this->soundAfter.sent));
    if (late > MaxSentAfterwards)
        this->recordViolation(
            fmt::format("{} requests with the deadly part reached upstreams late", late));
    if (this->soundBefore.sent < MinSoundPrompts || this->soundAfter.sent < MinSoundPrompts) {
        this->recordViolation("too few sound requests to judge their rate");
        return;
    }
    const double rateBefore =
        static_cast<double>(this->soundBefore.received) / this->soundBefore.sent;
    const double rateAfter = static_cast<double>(this->soundAfter.received) / this->soundAfter.sent;
    if (rateAfter < rateBefore / 2)
        this->recordViolation(fmt::format("sound requests begin at a rate of {:.2f}, before {:.2f}",
                                          rateAfter, rateBefore));
}

} // namespace tray::test
