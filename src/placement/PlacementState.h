// Which engine holds what in a plan under construction, with memory and expected load.
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

/// Models and adapters of one engine.
struct EngineItems
{
    std::set<std::string> models;
    std::set<std::string> adapters;

    bool operator==(const EngineItems &) const = default;
};

/// Items of each engine, by upstream.
using PlacementPlan = std::map<std::string, EngineItems>;

/// Everything that a plan depends on.
struct PlanInput
{
    const Catalogue &catalogue;
    const std::vector<std::shared_ptr<const proto::UpstreamStatus>> &statuses;
    const DemandTracker &demand;
    /// Present wishes; an engine without one is taken as it reports itself.
    const PlacementPlan &present;
};

/// Engine in a plan. Invariant of a whole plan: isOvercommitted() is false for each engine.
struct PlannedEngine
{
    std::string name;
    std::string pool;
    std::string region;
    uint64_t memoryBytes = 0;
    /// Tokens a second that the engine makes at most.
    double capacity = 0;
    EngineItems items;
    uint64_t weightBytes = 0;
    /// One full context for each model.
    uint64_t contextBytes = 0;
    double load = 0;

    bool isOvercommitted() const;
    bool fits(uint64_t moreWeights, uint64_t moreContext) const;
    /// Memory that loads may use at most.
    uint64_t loadableBytes() const;
    /// Load that is answered in time; a queue grows too long beyond it.
    double usefulCapacity() const;
};

/// Plan under construction.
class PlacementState
{
public:
    /// Starts from the present wishes and reports. What does not fit any more is left out.
    PlacementState(const PlanInput &input, Instant now);
    /// Starts from empty engines.
    PlacementState(const PlacementState &like, bool isEmpty);

    std::vector<PlannedEngine> &engines() { return this->planned; }
    const std::vector<PlannedEngine> &engines() const { return this->planned; }
    const Catalogue &catalogue() const { return this->shared->catalogue; }

    /// Engines that hold a model, by index.
    const std::vector<size_t> &replicas(const std::string &model) const;
    /// Replicas that must be resident; at least one, so that each model stays reachable.
    static uint32_t required(const proto::Model &model);
    /// Memory of a replica with all its adapters and one full context.
    uint64_t replicaBytes(const std::string &model) const;
    /// Memory of all adapters of a model.
    uint64_t adapterBytes(const std::string &model) const;
    double tokens(const std::string &name) const;
    /// Rate of a model from each region.
    const DemandTracker::RegionRates &rates(const std::string &model) const;

    bool canAdd(const std::string &model, size_t engine, uint64_t extraBytes = 0) const;
    void addModel(const std::string &model, size_t engine);
    void removeModel(const std::string &model, size_t engine);
    bool canAddAdapter(const std::string &adapter, size_t engine) const;
    void addAdapter(const std::string &adapter, size_t engine);

    /// Tokens a second that all engines are expected to answer in time, less a charge for answers
    /// that cross the region link.
    double expectedAttainment() const;
    /// Some region's demand for a model has no replica in that region.
    bool crosses(const std::string &model) const;
    PlacementPlan plan() const;

private:
    void addEngine(const proto::UpstreamStatus &status, const PlacementPlan &present);
    void spread(const std::string &model, double sign);

    // What all plans made from one input share.
    struct Shared
    {
        const Catalogue &catalogue;
        std::map<std::string, DemandTracker::RegionRates> rates;
        std::map<std::string, double> adapterRates;
        std::map<std::string, uint64_t> adapterBytes;
    };

    std::shared_ptr<const Shared> shared;
    std::vector<PlannedEngine> planned;
    std::map<std::string, std::vector<size_t>> replicaTable;
    // Tokens a second that cross the region link.
    double crossing = 0;
};

} // namespace tray
