// Creates the placement strategies.
#include "placement/Planner.h"

#include "placement/PlannedPlanner.h"

namespace tray {

namespace {

/// Baseline: agents load the models that requests need and evict the least recently used ones.
class OnDemandPlanner : public Planner
{
public:
    std::optional<PlacementPlan> plan(const PlanInput &, Instant) const override
    {
        return std::nullopt;
    }
};

} // namespace

std::unique_ptr<Planner> makePlanner(std::string_view strategy, PlannerSettings settings)
{
    if (strategy == "planned")
        return std::make_unique<PlannedPlanner>(settings);
    if (strategy == "on-demand")
        return std::make_unique<OnDemandPlanner>();
    return nullptr;
}

} // namespace tray
