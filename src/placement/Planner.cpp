// Choice of the placement strategy.
#include "placement/Planner.h"

#include "placement/PlannedPlanner.h"

namespace tray {

namespace {

/// Baseline: agents load what is asked for and evict what was used least recently.
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
