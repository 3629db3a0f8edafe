// Requests that were running when an engine died, counted over all entry instances and engines.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tray {

/// Bounded table of suspects that processes merge with each other's.
class SuspectTable
{
public:
    /// Time for which a suspect is remembered after its last crash.
    static constexpr Duration Memory = std::chrono::minutes(10);
    /// Time for which a change is passed on; several polls, so that a lost message does not lose
    /// it.
    static constexpr Duration PassOn = std::chrono::seconds(5);
    /// Two reports of one upstream within this time are about one crash: its agent and the entry
    /// both report it, and a crashed engine takes longer to come back.
    static constexpr Duration SameCrash = std::chrono::seconds(5);
    /// Entries beyond this number push out the oldest.
    static constexpr size_t MaxSuspects = 1000;

    /// Counts a crash of an upstream while it ran the request. False if it was counted before.
    bool crash(uint64_t contentDigest, const std::string &upstream, Instant now);
    /// Takes over what a neighbour knows. Merging the same twice changes nothing and returns false.
    bool merge(const proto::Suspect &suspect, Instant now);
    /// Crashes counted against a request.
    uint32_t crashesOf(uint64_t contentDigest, Instant now) const;
    /// The suspect with a digest, as messages carry it; without crashes if there is none.
    proto::Suspect find(uint64_t contentDigest, Instant now) const;
    /// Suspects that changed recently, or all of them for a neighbour that knows none.
    std::vector<proto::Suspect> changed(Instant now, bool all) const;
    void expire(Instant now);

private:
    struct Row
    {
        uint32_t crashes = 0;
        // Upstreams and the time of their last crash that is known here.
        std::map<std::string, Instant> upstreams;
        Instant until{};
        Instant changedAt{};
    };

    static proto::Suspect toMessage(uint64_t contentDigest, const Row &row, Instant now);
    void bound();

    std::map<uint64_t, Row> rows;
};

} // namespace tray
