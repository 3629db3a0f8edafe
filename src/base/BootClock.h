// Clock for permissions that run out.
#pragma once

#include "base/Time.h"

#include <ctime>

namespace tray {

/// Reads the monotonic clock that also counts the time that this machine was suspended. Its values
/// must not be compared with those of clockNow(). For the edges of the system only.
inline Instant bootNow()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant{std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)};
}

} // namespace tray
