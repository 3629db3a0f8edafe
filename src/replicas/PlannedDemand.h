// Demand for a model as the planner counts it.
#pragma once

namespace tray {

/// Demand for a model over all gateways.
struct PlannedDemand
{
    /// Requests per second.
    double requests = 0;
    /// Engines that the requests would keep busy.
    double work = 0;
};

} // namespace tray
