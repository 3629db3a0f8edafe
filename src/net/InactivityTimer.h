// Decides when a peer has been inactive for too long, without counting pauses of this process.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace tray {

/// Measures how long no message has arrived from a peer while this process was able to receive one.
/// The caller checks the peer several times within the limit, and a late check counts as if it had
/// been punctual: neither a pause of this process nor a busy event loop counts as inactivity of the
/// peer.
class InactivityTimer
{
public:
    InactivityTimer(Duration limit, Instant now)
        : interval(std::max<Duration>(limit / ChecksPerLimit, Duration(1))), remaining(limit),
          lastCheckAt(now)
    {}

    /// Time of the next check.
    Instant nextCheckAt() const
    {
        return this->lastCheckAt + std::min(this->interval, this->remaining);
    }

    /// Records a check that found no message from the peer.
    void recordCheck(Instant now)
    {
        this->remaining -= std::min({this->remaining, this->interval, now - this->lastCheckAt});
        this->lastCheckAt = now;
    }

    /// Returns whether the limit has been reached. The next check is then due immediately, to find
    /// what arrived with the last one.
    bool isExpired() const { return this->remaining <= Duration::zero(); }

private:
    static constexpr int ChecksPerLimit = 5;

    const Duration interval;
    Duration remaining;
    Instant lastCheckAt;
};

} // namespace tray
