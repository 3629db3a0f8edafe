// Decides which instances have enough processor time to do work for others.
#pragma once

namespace tray {

/// Part of a core below which an instance has low capacity: it does work for others only if no
/// other instance does. All instances of the smallest sites are alike and have more.
constexpr double LowCapacityCores = 0.12;

constexpr bool hasLowCapacity(double processorShare)
{
    return processorShare < LowCapacityCores;
}

} // namespace tray
