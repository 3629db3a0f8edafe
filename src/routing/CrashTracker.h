// Attributes crashes of upstreams to the requests that they were executing, and decides whether a
// suspect may run.
//
// A connection that breaks under a request is no proof of a crash: links are cut, connections are
// reset and upstreams stop as planned. The break opens a case, and only the news that the upstream
// has ended since turns the case into a counted crash.
//
// A crash says only that one of the running requests was at fault. The content of each of them and
// each part of their prompts becomes a suspect, and sound answers to requests with the same
// content or part clear it again (group testing). A part that has sound answers keeps some trust,
// since it is in many requests and was merely there at most of its crashes.
#pragma once

#include "base/EnumNames.h"
#include "routing/RecentDigests.h"
#include "routing/SuspectGate.h"
#include "routing/SuspectTable.h"

#include <functional>
#include <optional>
#include <set>

namespace tray {

/// Whether a request may be sent to an upstream, by the crashes that it is suspected of. In
/// ascending order of strictness.
enum class SuspectVerdict : uint8_t {
    Unsuspected,
    /// Only one request with the suspect may run at a time.
    RunAlone,
    /// As RunAlone; the request finds out whether the suspicion still holds.
    Probe,
    Refused
};

template <>
struct EnumNames<SuspectVerdict>
{
    static constexpr auto Table = std::to_array<EnumName<SuspectVerdict>>({
        {SuspectVerdict::Unsuspected, "unsuspected"},
        {SuspectVerdict::RunAlone, "run_alone"},
        {SuspectVerdict::Probe, "probe"},
        {SuspectVerdict::Refused, "refused"},
    });
};

/// What a request is recognised by when it comes again.
struct SuspectIdentity
{
    /// Digest of what the caller sends again with each attempt.
    uint64_t contentDigest = 0;
    /// Digests of the prompt parts that other requests may share, each once. Empty once an upstream
    /// has shown in the present attempt that it can answer them.
    std::vector<uint64_t> partDigests;
    /// Suspects that the present attempt probes.
    std::vector<uint64_t> probes;
};

/// Decision on a request, from all suspects that it is recognised by.
struct SuspectDecision
{
    SuspectVerdict verdict = SuspectVerdict::Unsuspected;
    /// Suspect that the verdict rests on.
    uint64_t digest = 0;
    /// For a refused request, the time until a request with the suspect may be sent again.
    Duration retryAfter{};
    /// Suspects that may run in one request at a time.
    std::vector<uint64_t> runAlone;
    /// Suspects that the request probes.
    std::vector<uint64_t> probes;
};

/// Not thread-safe, except for the gate.
class CrashTracker
{
public:
    /// Number of crashes after which a request's content is refused but for probes, and of rounds
    /// after which it is refused altogether and a part is refused. Requests of other instances run
    /// beside a suspect, so a single crash may have been caused by any of several requests.
    static constexpr uint32_t MaxCrashes = 3;
    /// Number of probes of a content whose crashes were in fewer than MaxCrashes rounds.
    static constexpr uint32_t MaxContentProbes = 2;
    /// Time from a content's last crash to its first probe, in which upstreams come back; doubles
    /// from the first probe to the second.
    static constexpr Duration ContentProbeDelay = std::chrono::seconds(5);
    /// Number of crashes, also at the same time, after which a part without trust is refused.
    static constexpr uint32_t MaxPartCrashes = 4;
    /// Number of rounds after which a part is refused although its requests have been answered
    /// before.
    static constexpr uint32_t MaxTrustedRounds = 6;
    /// Time after a break in which the news of the upstream's end confirms a crash. The instance
    /// list removes an upstream after several missed heartbeats.
    static constexpr Duration CaseLifetime = std::chrono::seconds(15);
    /// Above this number of open cases, further breaks are ignored.
    static constexpr size_t MaxOpenCases = 1000;
    /// Time for which an answer must have been arriving before it clears the parts of its prompt.
    /// An upstream may have sent the beginning of an answer before it crashes on the request.
    static constexpr Duration SoundAnswerTime = std::chrono::seconds(1);
    /// Number of parts with sound answers that are remembered.
    static constexpr size_t TrustedParts = 2048;
    /// Time by which a process waits longer with a probe than the process before it in order.
    static constexpr Duration ProbeSlot = milliseconds(500);

    /// Returns the number of processes that should send a probe of the suspect before this one.
    using ProbeOrder = std::function<size_t(uint64_t digest)>;

    explicit CrashTracker(ProbeOrder probeOrder = [](uint64_t) { return size_t{0}; })
        : probeOrder(std::move(probeOrder))
    {}

    SuspectDecision decide(const SuspectIdentity &request, Instant now) const;
    uint32_t crashCount(uint64_t digest, Instant now) const
    {
        return this->suspects.crashCount(digest, now);
    }
    SuspectGate &gate() { return this->suspectGate; }

    /// Records that the connection to an upstream broke while it may have been executing the
    /// request, which was sent at the given time. The incarnation distinguishes the upstream's
    /// restarts.
    void recordBreak(const SuspectIdentity &request, const std::string &upstream,
                     const std::string &incarnation, Instant sentAt, Instant now);
    /// Records that an upstream has ended: its open cases are counted as crashes. Returns the
    /// suspects that changed.
    std::vector<proto::Suspect> recordEnd(const std::string &upstream, Instant now);
    /// Records that an upstream accepted a connection that was opened at the given time: breaks
    /// before had other causes than a crash. Returns whether a connection has broken since.
    bool recordAlive(const std::string &upstream, Instant since);
    /// Records that an upstream has completed a request with this content. Returns the suspect if
    /// it was cleared.
    std::vector<proto::Suspect> recordCompletion(uint64_t contentDigest, Instant now);
    /// Records that an upstream has answered a request with these prompt parts, completely or for
    /// SoundAnswerTime. Returns the suspects that were cleared.
    std::vector<proto::Suspect> recordSoundAnswer(const std::vector<uint64_t> &partDigests,
                                                  Instant now);
    /// Records that a request is sent that probes these suspects. Returns those that changed.
    std::vector<proto::Suspect> recordProbes(const std::vector<uint64_t> &digests, Instant now);
    /// Merges a peer's suspects. Returns those that are new here.
    std::vector<proto::Suspect> merge(const proto::SuspectReport &report, Instant now);
    std::vector<proto::Suspect> recentChanges(Instant now, bool all) const
    {
        return this->suspects.recentChanges(now, all);
    }
    /// Suspects that are refused at processes without trust in them, at most the given number, in
    /// turn.
    std::vector<proto::Suspect> takeNextConfirmed(size_t limit, Instant now)
    {
        return this->suspects.takeNextConfirmed(MaxCrashes, limit, now);
    }
    /// Suspects that this process refuses in the prompts of all requests but probes, at most the
    /// given number, those with the most crashes first.
    std::vector<proto::Suspect> findRefused(size_t limit, Instant now) const;
    void expire(Instant now);

private:
    struct OpenCase
    {
        std::string upstream;
        std::string incarnation;
        SuspectIdentity request;
        Instant sentAt;
        Instant brokeAt;
    };

    /// Parts of all requests whose connections to an upstream broke: those without trust, or all if
    /// there are none.
    std::set<uint64_t> findLikelyParts(const std::string &upstream) const;
    /// Whether each of these parts of a request has only occurred in crashes that a suspect without
    /// trust, which the request does not have, explains as well.
    bool hasOtherExplanation(const SuspectIdentity &request, const std::vector<uint64_t> &refused,
                             Instant now) const;
    SuspectVerdict judgeContent(uint64_t digest, Instant now) const;
    /// Time from which a refused content may be sent as a probe, if ever.
    std::optional<Instant> contentProbeDueAt(uint64_t digest, Instant now) const;
    /// Verdict on a part by its crashes alone; not a probe.
    SuspectVerdict judgePart(uint64_t digest, Instant now) const;

    SuspectTable suspects;
    SuspectGate suspectGate;
    const ProbeOrder probeOrder;
    RecentDigests<TrustedParts> trustedParts;
    std::vector<OpenCase> openCases;
};

} // namespace tray
