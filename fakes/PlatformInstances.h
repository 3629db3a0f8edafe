// Instance list of the stand-in, which shows callers an older state.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace tray {

/// Entry as the protocol writes it.
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

/// Live and leaving instances with a lag.
class PlatformInstances
{
public:
    /// A list and the revision that it belongs to.
    struct View
    {
        uint64_t revision = 0;
        std::vector<PlatformInstance> instances;
    };

    void put(PlatformInstance instance, Instant now);
    /// Marks as leaving; the entry is dropped by expire() after the time given.
    bool leave(const std::string &id, Instant now, Duration keep);
    void drop(const std::string &id, Instant now);
    void expire(Instant now);
    /// List as it was before the lag.
    const View &view(Instant now, Duration lag);
    /// Present entries, without lag.
    const std::map<std::string, PlatformInstance> &present() const { return this->instances; }

private:
    void publish(Instant now);

    std::map<std::string, PlatformInstance> instances;
    std::map<std::string, Instant> leavingUntil;
    uint64_t revision = 0;
    // Oldest first; the first view is the newest one that is old enough for callers.
    std::deque<std::pair<Instant, View>> views{{Instant{}, View{}}};
};

} // namespace tray
