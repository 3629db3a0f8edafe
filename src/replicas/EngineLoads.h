// Estimates how the demand for models spreads over the engines that hold them.
//
// Engines hold several models, a few of which get most requests. Gateways send each request to the
// least busy engine that holds its model, so a replica on a busy engine is worth little, and one on
// an idle engine also relieves the other models of the engines that served the demand before. The
// same work keeps a slow engine busy for longer, so it gets less of it.
#pragma once

#include "replicas/PlannedDemand.h"

#include <map>
#include <string>
#include <vector>

namespace tray {

/// Spread of one demand over one placement, and the effect of one replica more or less.
class EngineLoads
{
public:
    /// A model on an engine.
    struct PlacedModel
    {
        std::string model;
        /// The model answers requests already; otherwise it is still being loaded.
        bool ready = true;
    };

    using Placement = std::map<std::string, std::vector<PlacedModel>>;

    /// Time that work takes at each engine, as a multiple of the time at the fastest engines;
    /// engines that are not listed count as 1.
    using Slowness = std::map<std::string, double>;

    EngineLoads(const Placement &placement, const std::map<std::string, PlannedDemand> &demand,
                const Slowness &slowness = {});

    /// Part of its time for which an engine is busy; above 1 the engine cannot keep up.
    double utilization(const std::string &engine) const;
    /// Additional requests per second that are served well once the engine also holds the model, in
    /// place of the victim if one is named.
    double replicaGain(const std::string &engine, const std::string &model,
                       const std::string &victim) const;
    /// Upper bound on the gain of a further replica of the model over all engines and victims;
    /// takes a small part of the time of the exact gain.
    double maxReplicaGain(const std::string &model) const;
    /// Requests per second that are no longer served well once the engine drops the model. Only
    /// other replicas that answer already take over its requests.
    double replicaLoss(const std::string &engine, const std::string &model) const;

    /// Part of the requests that an engine serves well at a utilization.
    static double servedShareAt(double utilization);

private:
    struct Engine
    {
        /// Work that keeps the engine busy, in units of the fastest engines. Positive.
        double capacity = 1;
        double utilization = 0;
        double requestsPerSecond = 0;
    };

    struct Replica
    {
        size_t engine;
        bool ready;
        /// Part of the engine's utilization that the model causes.
        double utilization;
    };

    struct Model
    {
        PlannedDemand demand;
        std::vector<Replica> replicas;

        /// Requests per second that keep one of the fastest engines busy.
        double requestsPerBusyEngine() const
        {
            return this->demand.busyEngines > 0
                       ? this->demand.requestsPerSecond / this->demand.busyEngines
                       : 0;
        }
    };

    /// Mean utilization of the engines that share a model's work, which is levelled over them, and
    /// the sum of their capacities.
    struct SharedLevel
    {
        double level = 0;
        double capacity = 0;
    };

    void distributeWork(Model &model);
    SharedLevel sharedLevel(const std::vector<Replica> &replicas) const;
    const Replica *findReplica(const std::string &engine, const std::string &model) const;
    Engine engineWithout(size_t engine, const std::string &victim) const;

    std::map<std::string, size_t> engineIndexes;
    std::vector<Engine> engines;
    /// Greatest capacity of any engine.
    double maxCapacity = 0;
    std::map<std::string, Model> models;
};

} // namespace tray
