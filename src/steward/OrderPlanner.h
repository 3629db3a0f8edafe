// Decides the next order to an engine from its report and what is wished of it.
#pragma once

#include "fleet/FleetConfig.h"
#include "fleet/OrderPort.h"

#include <map>
#include <optional>

namespace tray {

/// Every order rests on one report and names its sequence. Once the engine has accepted any other
/// order, an earlier one that is still under way no longer takes effect; so an order that fits the
/// memory by the report that it names can never overcommit it, however late it arrives.
class OrderPlanner
{
public:
    /// Placement wishes lapse after this time, so that a planner that fell silent moves nothing.
    static constexpr Duration WishLifetime = std::chrono::seconds(4);
    /// An adapter wish is open for this long: the caller's request waits no longer.
    static constexpr Duration AdapterWishLifetime = milliseconds(400);
    /// An adapter that was wished within this time probably has running requests.
    static constexpr Duration AdapterInUse = milliseconds(1500);
    /// Models of the last life are loaded within this time only; later ones would not fit the
    /// demand any more.
    static constexpr Duration RestoreLifetime = std::chrono::seconds(10);
    /// Adapters that an engine fetches at the same time.
    static constexpr size_t MaxArriving = 4;

    /// Takes over the models that the planner of a term wishes. False if the term is an old one.
    bool wishModels(uint64_t term, std::vector<std::string> models, Instant now);
    /// Nothing that was wished so far is carried out any more; the highest term is kept.
    void dropWishes();
    void wishAdapter(const std::string &model, const std::string &adapter, Instant now);
    /// The engine came back empty: these are the models of its last life, most wanted first. Until
    /// a planner speaks, those with copies on the engine's host are loaded again: after a loss of
    /// all processes a planner has to be elected and to learn the demand first.
    void restoreModels(std::vector<std::string> models, Instant now);
    /// The models that an engine holds, those that the planner named first in front.
    std::vector<std::string> heldByWish(const EngineReport &report) const;
    uint64_t term() const { return this->plannerTerm; }

    /// The next order that is useful and safe; nothing if there is none now.
    std::optional<EngineOrder> next(const EngineReport &report, const EngineSpec &spec,
                                    Instant now) const;
    /// Tells what became of an order.
    void noteReply(const EngineOrder &order, OrderReply reply, const EngineReport &report,
                   Instant now);

    /// Model that is being loaded or unloaded by the report; empty if none.
    std::string loading(const EngineReport &report) const;
    std::string unloading(const EngineReport &report) const;
    /// Expected time until the load that is under way ends; zero if there is none.
    Duration loadingLeft(const EngineReport &report, const EngineSpec &spec, Instant now) const;

private:
    struct AdapterKey
    {
        std::string model;
        std::string adapter;
        auto operator<=>(const AdapterKey &) const = default;
    };

    std::optional<EngineOrder> nextForModels(const EngineReport &report, const EngineSpec &spec,
                                             Instant now) const;
    std::optional<EngineOrder> nextForAdapters(const EngineReport &report, const EngineSpec &spec,
                                               Instant now) const;
    std::optional<EngineOrder> nextToRestore(const EngineReport &report, const EngineSpec &spec,
                                             Instant now) const;
    void noteModelOrder(const EngineOrder &order, Instant now);
    std::optional<AdapterKey> leastWanted(const EngineReport &report, Instant now) const;
    double usedMb(const EngineReport &report, const EngineSpec &spec) const;
    bool fits(const EngineReport &report, const EngineSpec &spec, double moreMb) const;

    uint64_t plannerTerm = 0;
    std::vector<std::string> wished;
    Instant wishedAt{};
    // Models of the engine's last life, and when they were told.
    std::vector<std::string> lastLife;
    Instant lastLifeAt{};
    // Last wish for each adapter.
    std::map<AdapterKey, Instant> adapterWishes;
    // The model order that the engine accepted last; it is under way while a report says busy.
    std::optional<EngineOrder> modelOrder;
    Instant modelOrderAt{};
};

} // namespace tray
