// Decides which instances have enough processor time to do work for others.
#pragma once

namespace tray {

/// Part of a core below which an instance has a low CPU share: it does work for others only if no
/// other instance does. All instances of the smallest sites are alike and have more.
constexpr double LowCpuShareCores = 0.12;

constexpr bool hasLowCpuShare(double cpuCores)
{
    return cpuCores < LowCpuShareCores;
}

} // namespace tray
