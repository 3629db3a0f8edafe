// Selects the parent that a process polls from its candidates in the relay tree.
#pragma once

#include "base/Time.h"
#include "membership/Backoff.h"

#include "control.pb.h"

#include <map>
#include <string>
#include <vector>

namespace tray {

/// Skips candidates that did not answer, each for an exponentially growing backoff.
class ParentSelector
{
public:
    static constexpr Duration InitialRetryBackoff = std::chrono::seconds(2);
    static constexpr Duration MaxRetryBackoff = std::chrono::seconds(15);

    /// First candidate that is not in backoff; null if there is none.
    const proto::InstanceEntry *choose(const std::vector<proto::InstanceEntry> &candidates,
                                       Instant now) const;
    void noteFailure(const std::string &id, Instant now, double random);
    void noteSuccess(const std::string &id) { this->retryStates.erase(id); }
    /// Forgets instances that are no longer candidates.
    void retainOnly(const std::vector<proto::InstanceEntry> &candidates);

private:
    struct RetryState
    {
        Backoff backoff{InitialRetryBackoff, MaxRetryBackoff};
        Instant retryAt{};
    };

    std::map<std::string, RetryState> retryStates;
};

} // namespace tray
