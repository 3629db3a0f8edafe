// Smooths and quantises the slowness of an engine for the planning of replicas.
//
// Neighbours slow an engine's machine for moments. A load takes seconds and must pay off over the
// lifetime of a demand, so replicas are placed by the pace that lasts that long.
#pragma once

#include "base/Time.h"

#include <optional>

namespace tray {

class SlownessFilter
{
public:
    /// Time constant of the smoothing: about the time for which a demand lasts.
    static constexpr Duration TimeConstant = std::chrono::seconds(10);
    /// Time for which a new filter counts as having read 1. Short, so that a new planner soon knows
    /// the engines that are slow by their hardware.
    static constexpr Duration InitialTime = std::chrono::seconds(1);
    /// Longest time that one reading stands for; plans can be seconds apart.
    static constexpr Duration MaxReadingTime = std::chrono::seconds(1);
    /// Distance between two planned values.
    static constexpr double Step = 0.25;
    /// Distance of the smoothed slowness from the planned value at which that changes. More than
    /// half a step, so that readings between two values do not switch it back and forth.
    static constexpr double SwitchDistance = 0.8 * Step;
    /// Greatest planned value. The slowest hardware takes 1.6 / 0.6 times as long as the fastest;
    /// what exceeds that by far is a stall.
    static constexpr double MaxSlowness = 4;

    /// Adds a reading. Those that are no finite numbers are ignored, and no engine counts as faster
    /// than the fastest ones.
    void add(double reading, Instant now);
    /// Slowness to plan with: a multiple of Step, at least 1.
    double planned() const { return this->plannedValue; }

private:
    double smoothed = 1;
    double plannedValue = 1;
    /// Time over which the smoothed value was formed, at most TimeConstant.
    Duration formedOver = InitialTime;
    /// Time of the last reading.
    std::optional<Instant> readAt;
};

} // namespace tray
