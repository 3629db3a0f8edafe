// Time types. Decision code receives the present time as an argument and reads no clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace tray {

/// Point on the monotonic clock of this machine.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// Whole milliseconds of a duration, rounded towards zero.
inline int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// Reads the monotonic clock. For the edges of the system only, never for decision code.
inline Instant clockNow()
{
    return std::chrono::steady_clock::now();
}

/// Wall-clock time in ms since 1970.
using WallMs = uint64_t;

/// Reads the wall clock. For the edges of the system only, never for decision code.
inline WallMs wallNow()
{
    return static_cast<WallMs>(std::chrono::duration_cast<milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count());
}

} // namespace tray
