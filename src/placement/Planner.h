// Interface of the placement strategies, which decide what each engine should hold.
#pragma once

#include "placement/PlacementState.h"

#include <memory>
#include <optional>
#include <string_view>

namespace tray {

/// Makes placement plans. Pure: the same input and time give the same plan.
class Planner
{
public:
    virtual ~Planner() = default;

    /// Items that each available engine should hold; nothing if the strategy requests no placement.
    virtual std::optional<PlacementPlan> plan(const PlanInput &input, Instant now) const = 0;
};

/// Settings of the strategy "planned".
struct PlannerSettings
{
    /// Time over which the gain of a move is counted.
    Duration horizon = std::chrono::seconds(60);
    /// Cost of loading a model, in tokens that could have been generated: a fixed part, and a part
    /// for each GB of weights.
    double loadCost = 2000;
    double loadCostPerGb = 200;
    /// A move must also gain this fraction of the demand that the new replica takes over, so that
    /// noise causes no moves.
    double hysteresis = 0.4;
    /// Numbers of models and engines that are considered for one more replica. Limits the work of a
    /// planning round.
    size_t modelsConsidered = 32;
    size_t enginesConsidered = 8;
    /// Limit of passes over the plan in one planning round.
    size_t maxPasses = 6;
    /// Limit of spare replicas that one pass adds.
    size_t maxMovesPerPass = 64;
};

/// Creates the strategy with this name in the settings, "planned" or "on-demand"; null for another
/// name.
std::unique_ptr<Planner> makePlanner(std::string_view strategy, PlannerSettings settings = {});

} // namespace tray
