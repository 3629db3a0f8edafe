// Growing, jittered waits between attempts.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace tray {

/// Doubles the wait with each failure up to a limit. The caller's random number spreads the
/// attempts of many processes, so that they do not come back together after an outage.
class Backoff
{
public:
    Backoff(Duration first, Duration limit) : first(first), limit(limit), present(first) {}

    /// Wait before the next attempt: between half and the whole of the present step; random is from
    /// 0 to 1.
    Duration next(double random)
    {
        const auto wait = std::chrono::duration<double>(this->present) * (0.5 + random / 2);
        this->present = std::min(this->present * 2, this->limit);
        return std::chrono::duration_cast<Duration>(wait);
    }
    void reset() { this->present = this->first; }

private:
    Duration first;
    Duration limit;
    Duration present;
};

} // namespace tray
