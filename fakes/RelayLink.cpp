// Computes arrival times from the bandwidth and the delay.
#include "RelayLink.h"

#include <algorithm>

namespace tray {

Instant RelayLink::transmit(uint64_t bytes, Instant now)
{
    this->busyUntil = std::max(this->busyUntil, now);
    if (this->bitsPerSecond > 0)
        this->busyUntil += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(bytes) * 8 / static_cast<double>(this->bitsPerSecond)));
    return this->busyUntil + this->delay;
}

} // namespace tray
