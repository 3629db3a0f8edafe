// Plans which engines hold which models.
//
// A few models get most requests and the others few, which ones changes within seconds, and engines
// crash and restart empty. Every model keeps a replica; the memory that is left goes to the models
// with the most work per replica, at the engines that take the most work.
#pragma once

#include "base/Time.h"
#include "fleet/FleetConfig.h"
#include "replicas/EngineLoads.h"
#include "replicas/SlownessFilter.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tray {

/// An engine as the planner sees it.
struct EngineCandidate
{
    std::string id;
    std::string dataCentre;
    std::string softwareVersion;
    uint64_t startedAtMs = 0;
    /// The engine has announced that it leaves, and gets no more requests.
    bool leaving = false;
    /// The engine's steward sent a snapshot lately and can order the engine.
    bool acceptsOrders = false;
    std::vector<std::string> models;
    std::string loading;
    std::string unloading;
    /// Time that work takes at the engine now, as a multiple of the time at the fastest engines; 1
    /// if nothing is known. The planner smooths it.
    double slowness = 1;
    std::set<std::string> inMemory;
    std::set<std::string> onDisk;
};

/// A model at the engines of one software version.
struct VersionedModel
{
    std::string model;
    std::string softwareVersion;
    auto operator<=>(const VersionedModel &) const = default;
};

/// Limit on the loads from the weight store that begin within a window, over all engines.
struct StoreLoadLimits
{
    Duration window = std::chrono::seconds(5);
    /// Factor on the number of loads that the store's rate allows in a window.
    double rateFactor = 1.1;
    /// Further loads allowed in a window.
    double burst = 3;
};

/// A granted change: an engine loads a model and drops another one for it if memory is short.
struct PlannedMove
{
    std::string engineId;
    std::string load;
    std::string unload;
    /// Additional requests per second that are served well.
    double gain = 0;
    /// The move is made for streams that only engines of this software version can continue.
    bool isForContinuation = false;
    /// Slowness of the engine that the plan was made with.
    double slowness = 1;
};

class ReplicaPlanner
{
public:
    /// Time after which a move that the engine does not report is abandoned.
    static constexpr Duration MoveTimeout = std::chrono::seconds(25);
    /// Requests per second that a move must gain beyond the loss of its victim.
    static constexpr double MinGain = 0.4;
    /// Requests per second that a load into unused memory must gain.
    static constexpr double MinGainForFreeMemory = 0.005;
    /// Factor by which a victim's loss counts more than a gain of the same size.
    static constexpr double EvictionLossFactor = 1.3;

    explicit ReplicaPlanner(StoreLoadLimits limits) : limits(limits) {}

    /// Time after which a model that no engine holds is loaded at any cost. Engines that crash are
    /// back sooner, and load it from copies on their hosts.
    static constexpr Duration UnheldTimeout = std::chrono::seconds(5);
    /// Time after which a model that no engine holds is loaded from the weight store at any cost
    /// although an engine has a copy on its host. That engine may carry out another order first,
    /// and a load from the store would take longer than the wait for that engine.
    static constexpr Duration UnheldStoreTimeout = std::chrono::seconds(12);
    /// Time after which a model that continuations wait for, and that no engine of their software
    /// version holds, is loaded from a copy on the host of such an engine. Loads that their
    /// stewards have just ordered are reported sooner.
    static constexpr Duration AwaitedTimeout = milliseconds(200);
    /// Requests per second that a load for continuations counts as, compared with other moves.
    static constexpr double ContinuationGain = 2;
    /// Time without growth of the instance list after which a new planner takes the list for
    /// complete. Engines that are not listed yet hold models that would look as if no engine held
    /// them.
    static constexpr Duration ListSettleTime = milliseconds(800);
    /// Longest wait of a new planner for a complete list, from the first listed engine on.
    static constexpr Duration MaxListSettleTime = std::chrono::seconds(4);

    /// Resets the state when this instance takes the planner's role: the grants of earlier planners
    /// are unknown.
    void takeRole(Instant now);
    /// Records when an upstream was last added to the instance list.
    void noteListGrowth(Instant grewAt) { this->listGrewAt = grewAt; }
    /// Replaces the models that continuations wait for. One that no engine of its software version
    /// holds or loads is loaded by one of them, whatever the gain.
    void noteContinuations(std::set<VersionedModel> models)
    {
        this->awaitedModels = std::move(models);
    }
    /// Grants the moves that pay off now; returns the new ones.
    std::vector<PlannedMove> plan(const EngineSpec &spec,
                                  const std::vector<EngineCandidate> &engines,
                                  const std::map<std::string, PlannedDemand> &demand, Instant now);
    /// Models that an engine should hold, the most requested first; nothing if the engine is to be
    /// left alone.
    std::optional<std::vector<std::string>> requestedModelsFor(const std::string &engineId) const;

private:
    struct Grant
    {
        PlannedMove move;
        uint64_t startedAtMs = 0;
        Instant grantedAt{};
        bool fromStore = false;
        // The engine reported the load.
        bool loadBegan = false;
    };

    /// State of each engine and model once all grants are carried out.
    struct PlannedState;

    PlannedState makePlannedState(const EngineSpec &spec,
                                  const std::vector<EngineCandidate> &engines,
                                  const std::map<std::string, PlannedDemand> &demand) const;
    /// A model that an engine could drop for another one, with the cost of dropping it.
    struct Victim
    {
        std::string model;
        double loss = 0;
        int replicas = 0;
    };

    struct RatedMove
    {
        PlannedMove move;
        /// Gain minus the cost of the move.
        double value = 0;
        bool fromStore = false;
    };

    std::vector<Victim> victimsOn(const EngineCandidate &engine, const PlannedState &state) const;
    std::optional<RatedMove> bestMoveFor(const EngineCandidate &engine,
                                         const std::vector<Victim> &victims,
                                         const std::string &model, const PlannedState &state,
                                         Instant now) const;
    /// All moves that pay off on their own, the best first.
    std::vector<RatedMove> profitableMoves(const EngineSpec &spec,
                                           const std::vector<EngineCandidate> &engines,
                                           const PlannedState &state, bool storeAllowed,
                                           Instant now) const;
    void grant(const RatedMove &move, const std::vector<EngineCandidate> &engines, Instant now);
    /// Derives the requested placement from the grants.
    std::vector<PlannedMove>
    updateRequestedModels(const std::vector<EngineCandidate> &engines,
                          const std::map<std::string, PlannedDemand> &demand,
                          std::vector<PlannedMove> moves);
    void noteSlowness(const std::vector<EngineCandidate> &engines, Instant now);
    double plannedSlowness(const std::string &engineId) const;
    void noteUngrantedLoads(const std::vector<EngineCandidate> &engines, Instant now);
    void closeGrants(const std::vector<EngineCandidate> &engines, Instant now);
    bool isListSettled(const std::vector<EngineCandidate> &engines, Instant now);
    bool mayLoadFromStore(const EngineSpec &spec, Instant now);
    void noteUnheld(const EngineSpec &spec, const PlannedState &state, Instant now);
    /// Whether no engine has held the model for so long that this engine is to load it at any cost.
    bool isUnheldTooLong(const EngineCandidate &engine, const std::string &model,
                         const PlannedState &state, Instant now) const;
    /// Whether continuations wait for the model at the engine's software version, none of whose
    /// engines has held it for so long that this one is to load it at any cost.
    bool isAwaitedTooLong(const EngineCandidate &engine, const std::string &model,
                          const PlannedState &state, Instant now) const;

    /// Slowness of one incarnation of an engine. Gateways forget the pace of an engine that
    /// restarts, and so does the planner, which expects work where they send it.
    struct TrackedSlowness
    {
        uint64_t startedAtMs = 0;
        SlownessFilter filter;
    };

    const StoreLoadLimits limits;
    // Grants in progress, by engine. An engine changes one model at a time.
    std::map<std::string, Grant> grants;
    std::map<std::string, std::vector<std::string>> requestedModels;
    // The engines of the last plan.
    std::map<std::string, TrackedSlowness> slowness;
    // Start times of the recent loads from the weight store.
    std::deque<Instant> storeLoadStarts;
    // Loads that this planner did not grant, by engine, as last reported.
    std::map<std::string, std::string> ungrantedLoads;
    // Time since when each model without a replica has been without one.
    std::map<std::string, Instant> unheldSince;
    // Models that continuations wait for, and the time since when no engine of the version has held
    // each of them.
    std::set<VersionedModel> awaitedModels;
    std::map<VersionedModel, Instant> awaitedSince;
    std::optional<Instant> restartedAt;
    // Time at which this planner saw the first engine; not set while the list is empty.
    std::optional<Instant> firstListedAt;
    Instant listGrewAt{};
    // The list has been complete under this planner; engines that are listed later are new ones.
    bool listSettled = false;
};

} // namespace tray
