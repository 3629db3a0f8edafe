// Clock for permissions that expire, such as leases. It also advances while the machine is
// suspended.
#pragma once

#include "base/Time.h"

#include <ctime>

namespace tray {

/// Reads the monotonic clock that includes the time during which this machine was suspended. Its
/// values must not be compared with those of clockNow(). Only for code at the edges of the system.
inline Instant bootNow()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant{std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)};
}

} // namespace tray
