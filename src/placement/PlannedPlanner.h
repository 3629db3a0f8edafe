// Strategy "planned": minimum replicas first, then replicas whose gain exceeds their cost.
#pragma once

#include "placement/Planner.h"

#include <string>

namespace tray {

/// Keeps the present plan unless a change is needed or pays off.
class PlannedPlanner : public Planner
{
public:
    explicit PlannedPlanner(PlannerSettings settings) : settings(settings) {}

    std::optional<PlacementPlan> plan(const PlanInput &input, Instant now) const override;

private:
    struct Change;

    PlacementPlan pass(const PlanInput &input, Instant now) const;
    PlacementPlan finish(PlacementState &state) const;
    bool addOneSpare(PlacementState &state) const;
    void tryEngine(PlacementState &scratch, const std::string &model, size_t engine, double before,
                   Change &best) const;

    const PlannerSettings settings;
};

} // namespace tray
