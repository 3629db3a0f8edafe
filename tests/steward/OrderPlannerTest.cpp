// Guards against orders that overcommit an engine's memory when replies are lost, orders arrive
// late or the steward restarts; and against orders from expired requests or of an old placement
// planner.
#include "steward/OrderPlanner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "support/Property.h"

using namespace tray;

namespace {

const Instant Start{std::chrono::hours(1)};

EngineSpec makeSpec()
{
    EngineSpec spec;
    spec.weightsMb = 220000;
    spec.adapterSlots = 3;
    for (int i = 0; i < 6; ++i)
        spec.models.push_back({"m" + std::to_string(i), 72000, 60, std::chrono::seconds(9)});
    return spec;
}

/// Minimal simulation of an engine: executes the orders that it accepts, and records whether it
/// ever held more than its memory or adapter slots allow.
struct SimpleEngine
{
    EngineReport report;
    std::optional<EngineOrder> inProgress;
    bool overcommitted = false;

    double usedMb(const EngineSpec &spec) const
    {
        double mb = 0;
        for (const auto &model : this->report.models)
            mb +=
                spec.findModel(model.name)->weightsMb +
                spec.findModel(model.name)->adapterMb * static_cast<double>(model.adapters.size());
        if (this->inProgress && this->inProgress->verb == OrderVerb::Load)
            mb += spec.findModel(this->inProgress->model)->weightsMb;
        return mb;
    }

    size_t adapterCount() const
    {
        size_t count = 0;
        for (const auto &model : this->report.models)
            count += model.adapters.size();
        return count;
    }

    OrderReply handleOrder(const EngineOrder &order, const EngineSpec &spec)
    {
        if (this->report.busy || order.expectedSequence != this->report.sequence)
            return OrderReply::Conflict;
        ++this->report.sequence;
        if (order.adapter.empty()) {
            this->inProgress = order;
            this->report.busy = true;
        } else {
            for (auto &model : this->report.models) {
                if (model.name != order.model)
                    continue;
                std::erase(model.adapters, order.adapter);
                if (order.verb == OrderVerb::Load)
                    model.adapters.push_back(order.adapter);
            }
        }
        this->overcommitted = this->overcommitted || this->usedMb(spec) > spec.weightsMb ||
                              this->adapterCount() > spec.adapterSlots;
        return OrderReply::Accepted;
    }

    void finishModelOrder()
    {
        if (!this->inProgress)
            return;
        if (this->inProgress->verb == OrderVerb::Load)
            this->report.models.push_back({this->inProgress->model, {}});
        else
            std::erase_if(this->report.models, [&](const HeldModel &held) {
                return held.name == this->inProgress->model;
            });
        this->inProgress.reset();
        this->report.busy = false;
    }
};

} // namespace

TEST_CASE("A requested model is loaded once there is room")
{
    OrderPlanner orderPlanner;
    EngineReport report;
    report.sequence = 4;
    report.models = {{"m0", {}}, {"m1", {}}, {"m2", {}}};
    CHECK_FALSE(orderPlanner.nextOrder(report, makeSpec(), Start).has_value());
    REQUIRE(orderPlanner.requestModels(7, {"m0", "m1", "m3"}, Start));

    const auto order = orderPlanner.nextOrder(report, makeSpec(), Start);
    REQUIRE(order.has_value());
    CHECK(order->verb == OrderVerb::Unload);
    CHECK(order->model == "m2");
    CHECK(order->expectedSequence == 4);

    SUBCASE("requests of an earlier placement planner are ignored")
    {
        CHECK_FALSE(orderPlanner.requestModels(6, {"m5"}, Start));
        CHECK(orderPlanner.term() == 7);
    }
    SUBCASE("requests expire when the placement planner becomes unresponsive")
    {
        CHECK_FALSE(
            orderPlanner
                .nextOrder(report, makeSpec(), Start + OrderPlanner::PlacementRequestLifetime)
                .has_value());
    }
    SUBCASE("no order is sent while the engine is busy")
    {
        report.busy = true;
        CHECK_FALSE(orderPlanner.nextOrder(report, makeSpec(), Start).has_value());
    }
    SUBCASE("a leaving engine gets no orders")
    {
        report.leaving = true;
        CHECK_FALSE(orderPlanner.nextOrder(report, makeSpec(), Start).has_value());
    }
}

TEST_CASE("An engine that restarted without models gets its previous models back")
{
    const EngineSpec spec = makeSpec();
    OrderPlanner orderPlanner;
    EngineReport report;
    report.modelsOnDisk = {"m0", "m1", "m2"};
    report.modelsInMemory = {"m3"};
    orderPlanner.restoreModels({"m2", "m5", "m3", "m0", "m1"}, Start);
    const auto first = orderPlanner.nextOrder(report, spec, Start);
    REQUIRE(first.has_value());
    CHECK(first->verb == OrderVerb::Load);
    CHECK(first->model == "m2");

    SUBCASE("in order, from copies on its host, as far as there is room for them")
    {
        report.models = {{"m2", {}}};
        // m5 has no copy, and only the placement planner decides on loads from the weight store.
        CHECK(orderPlanner.nextOrder(report, spec, Start)->model == "m3");
        report.models.push_back({"m3", {}});
        CHECK(orderPlanner.nextOrder(report, spec, Start)->model == "m0");
        report.models.push_back({"m0", {}});
        CHECK_FALSE(orderPlanner.nextOrder(report, spec, Start).has_value());
    }
    SUBCASE("until a placement planner requests models")
    {
        CHECK(orderPlanner.requestModels(7, {"m4"}, Start));
        CHECK(orderPlanner.nextOrder(report, spec, Start)->model == "m4");
        report.models = {{"m4", {}}};
        CHECK_FALSE(orderPlanner.nextOrder(report, spec, Start).has_value());
    }
    SUBCASE("and not after the restore lifetime, when the demand has changed")
    {
        CHECK_FALSE(orderPlanner.nextOrder(report, spec, Start + OrderPlanner::RestoreLifetime)
                        .has_value());
    }
}

TEST_CASE("A requested adapter replaces another when all adapter slots are in use")
{
    OrderPlanner orderPlanner;
    EngineReport report;
    report.models = {{"m0", {"a1", "a2"}}};
    orderPlanner.requestAdapter("m0", "a3", Start);
    const auto load = orderPlanner.nextOrder(report, makeSpec(), Start);
    REQUIRE(load.has_value());
    CHECK(load->verb == OrderVerb::Load);
    CHECK(load->adapter == "a3");

    SUBCASE("an adapter in transit uses a slot")
    {
        report.adaptersInTransit = {{"m0", {"a9"}}};
        const auto order = orderPlanner.nextOrder(report, makeSpec(), Start);
        REQUIRE(order.has_value());
        CHECK(order->verb == OrderVerb::Unload);
    }
    SUBCASE("the adapter that was requested longest ago is unloaded")
    {
        report.models = {{"m0", {"a1", "a2", "a4"}}};
        orderPlanner.requestAdapter("m0", "a1", Start - std::chrono::seconds(5));
        orderPlanner.requestAdapter("m0", "a2", Start - std::chrono::seconds(9));
        orderPlanner.requestAdapter("m0", "a4", Start - std::chrono::seconds(3));
        const auto order = orderPlanner.nextOrder(report, makeSpec(), Start);
        REQUIRE(order.has_value());
        CHECK(order->verb == OrderVerb::Unload);
        CHECK(order->adapter == "a2");
    }
    SUBCASE("adapters in use are not unloaded")
    {
        report.models = {{"m0", {"a1", "a2", "a4"}}};
        for (const auto *adapter : {"a1", "a2", "a4"})
            orderPlanner.requestAdapter("m0", adapter, Start - milliseconds(600));
        CHECK_FALSE(orderPlanner.nextOrder(report, makeSpec(), Start).has_value());
    }
    SUBCASE("no adapter order while a model loads, because the engine would refuse the order")
    {
        report.busy = true;
        CHECK_FALSE(orderPlanner.nextOrder(report, makeSpec(), Start).has_value());
    }
    SUBCASE("an expired adapter request, whose caller waits no longer, is ignored")
    {
        CHECK_FALSE(
            orderPlanner.nextOrder(report, makeSpec(), Start + OrderPlanner::AdapterRequestLifetime)
                .has_value());
    }
}

TEST_CASE("No sequence of lost, late and repeated orders overcommits an engine's memory or slots")
{
    test::checkProperty("orders never overcommit an engine", 20261210, 300, [] {
        const EngineSpec spec = makeSpec();
        SimpleEngine engine;
        engine.report.models = {{"m0", {}}, {"m1", {}}, {"m2", {}}};
        OrderPlanner orderPlanner;
        std::vector<EngineOrder> delayedOrders;
        Instant now = Start;
        uint64_t term = 1;
        for (int step = 0; step < 120; ++step) {
            now += milliseconds(*rc::gen::inRange(1, 400));
            switch (*rc::gen::inRange(0, 8)) {
            case 0: {
                std::vector<std::string> models;
                for (int i = 0; i < 3; ++i)
                    models.push_back("m" + std::to_string(*rc::gen::inRange(0, 6)));
                orderPlanner.requestModels(term += *rc::gen::inRange<uint64_t>(0, 2), models, now);
                break;
            }
            case 1:
            case 2:
                orderPlanner.requestAdapter("m" + std::to_string(*rc::gen::inRange(0, 6)),
                                            "a" + std::to_string(*rc::gen::inRange(0, 5)), now);
                break;
            case 3:
                engine.finishModelOrder();
                break;
            case 4:
                // A delayed order arrives now.
                if (!delayedOrders.empty()) {
                    const auto at = *rc::gen::inRange<size_t>(0, delayedOrders.size());
                    engine.handleOrder(delayedOrders[at], spec);
                }
                break;
            case 5:
                // The steward restarts without any state.
                if (*rc::gen::inRange(0, 4) == 0)
                    orderPlanner = OrderPlanner();
                break;
            default: {
                const EngineReport seen = engine.report;
                const auto order = orderPlanner.nextOrder(seen, spec, now);
                if (!order)
                    break;
                const int delivery = *rc::gen::inRange(0, 3);
                auto reply = OrderReply::Unknown;
                if (delivery == 0)
                    delayedOrders.push_back(*order);
                else if (delivery == 1)
                    engine.handleOrder(*order, spec);
                else
                    reply = engine.handleOrder(*order, spec);
                orderPlanner.noteReply(*order, reply, engine.report, now);
                break;
            }
            }
            RC_ASSERT(!engine.overcommitted);
        }
    });
}
