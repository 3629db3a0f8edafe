// Placement strategy "planned": places the required replicas first, then spare replicas whose gain
// exceeds their cost.
#pragma once

#include "placement/Planner.h"

#include <string>

namespace tray {

/// Keeps the current plan unless a change is necessary or pays off.
class PlannedPlanner : public Planner
{
public:
    explicit PlannedPlanner(PlannerSettings settings) : settings(settings) {}

    std::optional<PlacementPlan> plan(const PlanInput &input, Instant now) const override;

private:
    struct Change;

    PlacementPlan runPass(const PlanInput &input, Instant now) const;
    PlacementPlan addSparesAndAdapters(PlacementState &state) const;
    bool addBestSpare(PlacementState &state) const;
    void evaluateEngine(PlacementState &scratch, const std::string &model, size_t engine,
                        double before, Change &best) const;

    const PlannerSettings settings;
};

} // namespace tray
