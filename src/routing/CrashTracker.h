// Attributes crashes of upstreams to the requests that they were executing, and decides whether a
// suspect may run.
//
// A connection that breaks under a request is no proof of a crash: links are cut, connections are
// reset and upstreams stop as planned. The break opens a case, and only the news that the upstream
// has ended since turns the case into a counted crash.
#pragma once

#include "base/EnumNames.h"
#include "routing/SuspectGate.h"
#include "routing/SuspectTable.h"

namespace tray {

/// Whether a request may be sent to an upstream, by the crashes that it is suspected of.
enum class SuspectVerdict : uint8_t {
    Unsuspected,
    /// Only one request with this content may run at a time.
    RunAlone,
    Refused
};

template <>
struct EnumNames<SuspectVerdict>
{
    static constexpr auto Table = std::to_array<EnumName<SuspectVerdict>>({
        {SuspectVerdict::Unsuspected, "unsuspected"},
        {SuspectVerdict::RunAlone, "run_alone"},
        {SuspectVerdict::Refused, "refused"},
    });
};

/// Not thread-safe, except for the gate.
class CrashTracker
{
public:
    /// Number of crashes after which a request is refused. Requests of other instances run beside a
    /// suspect, so a single crash may have been caused by any of several requests.
    static constexpr uint32_t MaxCrashes = 3;
    /// Time after a break in which the news of the upstream's end confirms a crash. The instance
    /// list removes an upstream after several missed heartbeats.
    static constexpr Duration CaseLifetime = std::chrono::seconds(15);
    /// Above this number of open cases, further breaks are ignored.
    static constexpr size_t MaxOpenCases = 1000;

    SuspectVerdict verdict(uint64_t contentDigest, Instant now) const;
    /// Time until a suspect is forgotten.
    Duration timeLeft(uint64_t contentDigest, Instant now) const
    {
        return this->suspects.timeLeft(contentDigest, now);
    }
    uint32_t crashCount(uint64_t contentDigest, Instant now) const
    {
        return this->suspects.crashCount(contentDigest, now);
    }
    SuspectGate &gate() { return this->suspectGate; }

    /// Records that the connection to an upstream broke while it may have been executing the
    /// request. The incarnation distinguishes the upstream's restarts.
    void recordBreak(uint64_t contentDigest, const std::string &upstream,
                     const std::string &incarnation, Instant now);
    /// Records that an upstream has ended: its open cases are counted as crashes. Returns the
    /// suspects that changed.
    std::vector<proto::Suspect> recordEnd(const std::string &upstream, Instant now);
    /// Records that an upstream accepted a connection that was opened at the given time: breaks
    /// before had other causes than a crash. Returns whether a connection has broken since.
    bool recordAlive(const std::string &upstream, Instant since);
    /// Records that an upstream has completed the request. Returns the suspect if it was cleared.
    std::vector<proto::Suspect> recordCompletion(uint64_t contentDigest, Instant now);
    /// Merges a peer's suspects. Returns those that are new here.
    std::vector<proto::Suspect> merge(const proto::SuspectReport &report, Instant now);
    std::vector<proto::Suspect> recentChanges(Instant now, bool all) const
    {
        return this->suspects.recentChanges(now, all);
    }
    void expire(Instant now);

private:
    struct OpenCase
    {
        std::string upstream;
        std::string incarnation;
        uint64_t contentDigest;
        Instant brokeAt;
    };

    SuspectTable suspects;
    SuspectGate suspectGate;
    // Oldest first.
    std::vector<OpenCase> openCases;
};

} // namespace tray
