// Choice of a parent among the candidates of the relay tree.
#pragma once

#include "base/Time.h"
#include "membership/Backoff.h"

#include "control.pb.h"

#include <map>
#include <string>
#include <vector>

namespace tray {

/// Remembers which candidates did not answer and leaves them out for a growing time.
class ParentChoice
{
public:
    static constexpr Duration FirstPause = std::chrono::seconds(2);
    static constexpr Duration LongestPause = std::chrono::seconds(15);

    /// First candidate that is not left out; null if there is none.
    const proto::InstanceEntry *choose(const std::vector<proto::InstanceEntry> &candidates,
                                       Instant now) const;
    void failed(const std::string &id, Instant now, double random);
    void succeeded(const std::string &id) { this->pauses.erase(id); }
    /// Forgets instances that are no candidates any more.
    void keepOnly(const std::vector<proto::InstanceEntry> &candidates);

private:
    struct Pause
    {
        Backoff backoff{FirstPause, LongestPause};
        Instant until{};
    };

    std::map<std::string, Pause> pauses;
};

} // namespace tray
