// Which instances can spare processor time for others.
#pragma once

namespace tray {

/// Part of a core below which an instance is weak: it takes over work for others only if no strong
/// one does. The smallest sites' instances, all alike, have more.
constexpr double LowCapacityCores = 0.12;

constexpr bool hasLowCapacity(double processorShare)
{
    return processorShare < LowCapacityCores;
}

} // namespace tray
