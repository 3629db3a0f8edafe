// Demand for a model in the units of the planner.
#pragma once

namespace tray {

/// Total demand of all gateways for a model.
struct PlannedDemand
{
    /// Requests per second.
    double requestsPerSecond = 0;
    /// Number of engines that the requests would keep busy, if all were as fast as the fastest.
    double busyEngines = 0;
};

} // namespace tray
