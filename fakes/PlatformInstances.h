// Instance list of the platform stand-in. Callers get the list as it was some time ago, as from a
// real platform.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace tray {

/// Entry of the instance list with the fields of the platform's protocol.
struct PlatformInstance
{
    std::string id;
    std::string role;
    std::string dataCentre;
    std::string region;
    std::string control;
    std::string data;
    std::string upstream;
    bool leaving = false;
};

/// Live and leaving instances. Keeps earlier versions of the list to serve it with a lag.
class PlatformInstances
{
public:
    /// The list at one revision.
    struct View
    {
        uint64_t revision = 0;
        std::vector<PlatformInstance> instances;
    };

    /// Adds or replaces an entry; a replaced entry that was leaving is no longer removed by
    /// expire().
    void put(PlatformInstance instance, Instant now);
    /// Marks an entry as leaving, to be removed by expire() after the given time. Returns whether
    /// there is such an entry.
    bool markLeaving(const std::string &id, Instant now, Duration retention);
    void remove(const std::string &id, Instant now);
    /// Removes the leaving entries whose time is over.
    void expire(Instant now);
    /// Newest list that is at least as old as the lag. Discards older lists.
    const View &laggedView(Instant now, Duration lag);
    /// Current entries, without lag.
    const std::map<std::string, PlatformInstance> &current() const { return this->instances; }

private:
    void publish(Instant now);

    std::map<std::string, PlatformInstance> instances;
    std::map<std::string, Instant> removalTimes;
    uint64_t revision = 0;
    // Lists with the time of their publication, oldest first. The first one is the newest that was
    // old enough for callers at the last call of laggedView().
    std::deque<std::pair<Instant, View>> views{{Instant{}, View{}}};
};

} // namespace tray
