// Model of a network link with delay and limited bandwidth. Computes when each chunk of data
// arrives at the other end.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace tray {

/// One direction of a link with a one-way delay and a bandwidth that all connections share. Unless
/// the delay is changed, chunks arrive in the order in which they were sent.
class RelayLink
{
public:
    /// A bandwidth of 0 means no limit.
    RelayLink(Duration delay, uint64_t bitsPerSecond) : delay(delay), bitsPerSecond(bitsPerSecond)
    {}

    void setDelay(Duration delay) { this->delay = delay; }
    void setBandwidth(uint64_t bitsPerSecond) { this->bitsPerSecond = bitsPerSecond; }
    /// Sends a chunk now and returns the time at which all of it has arrived.
    Instant transmit(uint64_t bytes, Instant now);

private:
    Duration delay;
    uint64_t bitsPerSecond;
    // Time until which the sender is busy putting earlier chunks on the link.
    Instant busyUntil{};
};

} // namespace tray
