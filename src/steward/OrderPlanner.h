// Chooses the next order to an engine from its report and the requests of planner and gateways.
#pragma once

#include "fleet/FleetConfig.h"
#include "fleet/OrderPort.h"

#include <map>
#include <optional>

namespace tray {

/// Chooses the orders to one engine. Every order is based on one report and names its sequence.
/// Once the engine has accepted any other order, an earlier one that is still in flight no longer
/// takes effect; so an order that fits the memory according to the report that it names can never
/// overcommit it, however late it arrives.
class OrderPlanner
{
public:
    /// Placement requests expire after this time, so that a planner that has become unresponsive
    /// moves nothing.
    static constexpr Duration PlacementRequestLifetime = std::chrono::seconds(4);
    /// Adapter requests expire after this time: the caller's request waits no longer.
    static constexpr Duration AdapterRequestLifetime = milliseconds(400);
    /// An adapter that was requested within this time probably has running requests and is not
    /// unloaded.
    static constexpr Duration AdapterInUseTime = milliseconds(1500);
    /// Models that the engine held before its restart are loaded again only within this time; after
    /// that they would no longer fit the demand.
    static constexpr Duration RestoreLifetime = std::chrono::seconds(10);
    /// Number of adapters that an engine fetches concurrently.
    static constexpr size_t MaxAdaptersInTransit = 4;

    /// Stores the models that the planner of a term requests. Returns false if the term is older
    /// than the highest one seen.
    bool requestModels(uint64_t term, std::vector<std::string> models, Instant now);
    /// Drops all placement and adapter requests and the models to restore; the highest term is
    /// kept.
    void dropRequests();
    void requestAdapter(const std::string &model, const std::string &adapter, Instant now);
    /// Drops what was requested of, and ordered from, an earlier incarnation of the engine. Models
    /// that are still to be restored are kept: an engine may restart again before it has them.
    void noteEngineRestart();
    /// Records that the engine has restarted without models. The given ones are those that it held
    /// before, most wanted first. While no placement request is in force, those with copies on the
    /// engine's host are loaded again: after a loss of all processes a planner must first be
    /// elected and learn the demand.
    void restoreModels(std::vector<std::string> models, Instant now);
    /// Returns the models that an engine holds: first the requested ones, in the planner's order,
    /// then all others.
    std::vector<std::string> heldByRequestOrder(const EngineReport &report) const;
    /// Highest term of a planner whose request was received.
    uint64_t term() const { return this->plannerTerm; }

    /// Returns the next order that is useful and safe; nothing if there is none now.
    std::optional<EngineOrder> nextOrder(const EngineReport &report, const EngineSpec &spec,
                                         Instant now) const;
    /// Records the engine's reply to an order, with a report that was read after it.
    void noteReply(const EngineOrder &order, OrderReply reply, const EngineReport &report,
                   Instant now);

    /// Model that the engine is loading or unloading according to the report; empty if none.
    std::string loadingModel(const EngineReport &report) const;
    std::string unloadingModel(const EngineReport &report) const;
    /// Expected time until the load in progress ends; zero if there is none.
    Duration remainingLoadTime(const EngineReport &report, const EngineSpec &spec,
                               Instant now) const;

private:
    struct AdapterKey
    {
        std::string model;
        std::string adapter;
        auto operator<=>(const AdapterKey &) const = default;
    };

    std::optional<EngineOrder> nextModelOrder(const EngineReport &report, const EngineSpec &spec,
                                              Instant now) const;
    std::optional<EngineOrder> nextAdapterOrder(const EngineReport &report, const EngineSpec &spec,
                                                Instant now) const;
    std::optional<EngineOrder> nextRestoreOrder(const EngineReport &report, const EngineSpec &spec,
                                                Instant now) const;
    void noteModelOrder(const EngineOrder &order, Instant now);
    /// Returns the adapter that was requested longest ago; nothing if all are probably in use.
    std::optional<AdapterKey> chooseAdapterToUnload(const EngineReport &report, Instant now) const;
    double usedMb(const EngineReport &report, const EngineSpec &spec) const;
    bool fits(const EngineReport &report, const EngineSpec &spec, double moreMb) const;

    uint64_t plannerTerm = 0;
    std::vector<std::string> requestedModels;
    Instant requestedAt{};
    // Models that the engine held before its restart, and when they were given.
    std::vector<std::string> previousModels;
    Instant previousModelsAt{};
    // Time of the last request for each adapter.
    std::map<AdapterKey, Instant> adapterRequests;
    // The last model order that the engine accepted or did not answer; it is in progress while a
    // report says busy.
    std::optional<EngineOrder> modelOrder;
    Instant modelOrderAt{};
};

} // namespace tray
