// Model of a slow, narrow link: when each piece of data that enters it leaves it.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace tray {

/// One direction of a link with a one-way delay and a bandwidth shared by all connections. Pieces
/// leave in the order in which they entered.
class RelayLink
{
public:
    /// A bandwidth of 0 has no limit.
    RelayLink(Duration delay, uint64_t bitsPerSecond) : delay(delay), bitsPerSecond(bitsPerSecond)
    {}

    void setDelay(Duration delay) { this->delay = delay; }
    void setBandwidth(uint64_t bitsPerSecond) { this->bitsPerSecond = bitsPerSecond; }
    /// Moment at which a piece that enters now has wholly left the link.
    Instant transmit(uint64_t bytes, Instant now);

private:
    Duration delay;
    uint64_t bitsPerSecond;
    // Moment at which the sender's side has put the last piece on the link.
    Instant busyUntil{};
};

} // namespace tray
