// Placement strategies: what each engine is wished to hold.
#pragma once

#include "placement/PlacementState.h"

#include <memory>
#include <optional>
#include <string_view>

namespace tray {

/// Makes placement wishes. Pure: the same input and time give the same plan.
class Planner
{
public:
    virtual ~Planner() = default;

    /// Items that each usable engine should hold; nothing if the strategy makes no wishes.
    virtual std::optional<PlacementPlan> plan(const PlanInput &input, Instant now) const = 0;
};

/// Settings of the strategy "planned".
struct PlannerSettings
{
    /// Time over which a move's gain is counted.
    Duration horizon = std::chrono::seconds(60);
    /// Cost of a load, in tokens that could have been answered, and for each GB of weights.
    double loadCost = 2000;
    double loadCostPerGb = 200;
    /// A move must also gain this part of the demand that the new replica takes, so that noise
    /// causes none.
    double hysteresis = 0.4;
    /// Models and engines looked at for one more replica; bounds the work of a round.
    size_t modelsConsidered = 32;
    size_t enginesConsidered = 8;
    /// Most passes over the plan in one round.
    size_t passes = 6;
    /// Most spare replicas added in one pass.
    size_t movesPerPass = 64;
};

/// Strategy by its name in the settings, "planned" or "on-demand"; null for another name.
std::unique_ptr<Planner> makePlanner(std::string_view strategy, PlannerSettings settings = {});

} // namespace tray
