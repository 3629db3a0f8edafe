// Time types and clocks. Decision code gets the current time as an argument and reads no clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace tray {

/// Point in time on this machine's monotonic clock.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// Converts a duration to milliseconds, rounded towards zero.
inline int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// Reads the monotonic clock. Only for code at the edges of the system, never for decision code.
inline Instant clockNow()
{
    return std::chrono::steady_clock::now();
}

/// Wall-clock time in ms since 1970.
using WallMs = uint64_t;

/// Reads the wall clock. Only for code at the edges of the system, never for decision code.
inline WallMs wallNow()
{
    return static_cast<WallMs>(std::chrono::duration_cast<milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count());
}

} // namespace tray
