// A placement plan under construction: the items of each engine, with memory and expected load.
#pragma once

#include "catalogue/Catalogue.h"
#include "placement/DemandTracker.h"

#include "control.pb.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tray {

/// Models and adapters that one engine holds.
struct EngineItems
{
    std::set<std::string> models;
    std::set<std::string> adapters;

    bool operator==(const EngineItems &) const = default;
};

/// Items of each engine, by upstream name.
using PlacementPlan = std::map<std::string, EngineItems>;

/// Input of the planner. A plan depends only on this input and the time.
struct PlanInput
{
    const Catalogue &catalogue;
    const std::vector<std::shared_ptr<const proto::UpstreamStatus>> &statuses;
    const DemandTracker &demand;
    /// Requested placement in effect. An engine without an entry is assumed to hold the items in
    /// its status.
    const PlacementPlan &current;
};

/// Engine in a plan. Invariant of a complete plan: isOvercommitted() is false for each engine.
struct PlannedEngine
{
    std::string name;
    std::string pool;
    std::string region;
    uint64_t memoryBytes = 0;
    /// Maximum output of the engine, in tokens per second.
    double capacity = 0;
    EngineItems items;
    uint64_t weightBytes = 0;
    /// KV cache for one full context of each model.
    uint64_t contextBytes = 0;
    /// Expected load in tokens per second.
    double load = 0;

    bool isOvercommitted() const;
    bool fits(uint64_t moreWeights, uint64_t moreContext) const;
    /// Memory that loaded models and adapters may use at most.
    uint64_t loadableBytes() const;
    /// Load that the engine can answer in time; a higher load makes its queue too long.
    double usefulCapacity() const;
};

/// Accounts the memory and load of each engine while a plan is built.
class PlacementState
{
public:
    /// Starts from the requested placement and the statuses. Omits items that no longer fit.
    PlacementState(const PlanInput &input, Instant now);
    /// Copies another plan, or only its engines without items if isEmpty is set.
    PlacementState(const PlacementState &other, bool isEmpty);

    std::vector<PlannedEngine> &engines() { return this->plannedEngines; }
    const std::vector<PlannedEngine> &engines() const { return this->plannedEngines; }
    const Catalogue &catalogue() const { return this->shared->catalogue; }

    /// Indices of the engines that hold a model.
    const std::vector<size_t> &replicas(const std::string &model) const;
    /// Number of replicas that a model must have; at least one, so that each model stays reachable.
    static uint32_t requiredReplicas(const proto::Model &model);
    /// Memory of a replica with all adapters of the model and one full context.
    uint64_t replicaBytes(const std::string &model) const;
    /// Memory of all adapters of a model.
    uint64_t adapterBytes(const std::string &model) const;
    /// Tokens per second for a model or adapter, over all regions.
    double tokenRate(const std::string &name) const;
    /// Tokens per second for a model, by region.
    const DemandTracker::RegionRates &rates(const std::string &model) const;

    bool canAddModel(const std::string &model, size_t engine, uint64_t extraBytes = 0) const;
    void addModel(const std::string &model, size_t engine);
    void removeModel(const std::string &model, size_t engine);
    bool canAddAdapter(const std::string &adapter, size_t engine) const;
    void addAdapter(const std::string &adapter, size_t engine);

    /// Tokens per second that all engines are expected to answer in time, minus a penalty for
    /// answers that are sent over the link between regions.
    double expectedAttainment() const;
    /// Whether a region has demand for the model but no replica of it.
    bool hasCrossRegionDemand(const std::string &model) const;
    PlacementPlan plan() const;

private:
    void addEngine(const proto::UpstreamStatus &status, const PlacementPlan &current);
    void applyLoad(const std::string &model, double sign);

    // Data that all plans made from one input share.
    struct Shared
    {
        const Catalogue &catalogue;
        std::map<std::string, DemandTracker::RegionRates> rates;
        std::map<std::string, double> adapterRates;
        std::map<std::string, uint64_t> adapterBytes;
    };

    std::shared_ptr<const Shared> shared;
    std::vector<PlannedEngine> plannedEngines;
    std::map<std::string, std::vector<size_t>> replicaTable;
    // Tokens per second that are sent over the link between regions.
    double crossRegionRate = 0;
};

} // namespace tray
