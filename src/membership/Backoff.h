// Exponential backoff with jitter for retries.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace tray {

/// Doubles the retry delay with each failure up to a limit. The caller's random number adds jitter,
/// so that many processes do not retry in step after an outage.
class Backoff
{
public:
    Backoff(Duration initial, Duration max) : initial(initial), max(max), current(initial) {}

    /// Delay before the next attempt: between half and all of the current backoff, which is then
    /// doubled. The random number is from 0 to 1.
    Duration next(double random)
    {
        const auto wait = std::chrono::duration<double>(this->current) * (0.5 + random / 2);
        this->current = std::min(this->current * 2, this->max);
        return std::chrono::duration_cast<Duration>(wait);
    }
    void reset() { this->current = this->initial; }

private:
    Duration initial;
    Duration max;
    Duration current;
};

} // namespace tray
