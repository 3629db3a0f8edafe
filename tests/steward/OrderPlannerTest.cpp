// Orders to an engine whose answers get lost and whose orders are carried out late.
#include "steward/OrderPlanner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "support/Property.h"

using namespace tray;

namespace {

const Instant Start{std::chrono::hours(1)};

EngineSpec specOf()
{
    EngineSpec spec;
    spec.weightsMb = 220000;
    spec.adapterSlots = 3;
    for (int i = 0; i < 6; ++i)
        spec.models.push_back({"m" + std::to_string(i), 72000, 60, std::chrono::seconds(9)});
    return spec;
}

/// The simplest engine: it carries out what it accepts, and falls over when it holds too much.
struct SimpleEngine
{
    EngineReport report;
    std::optional<EngineOrder> underWay;
    bool overcommitted = false;

    double used(const EngineSpec &spec) const
    {
        double mb = 0;
        for (const auto &model : this->report.models)
            mb +=
                spec.findModel(model.name)->weightsMb +
                spec.findModel(model.name)->adapterMb * static_cast<double>(model.adapters.size());
        if (this->underWay && this->underWay->verb == OrderVerb::Load)
            mb += spec.findModel(this->underWay->model)->weightsMb;
        return mb;
    }

    size_t adapters() const
    {
        size_t count = 0;
        for (const auto &model : this->report.models)
            count += model.adapters.size();
        return count;
    }

    OrderReply take(const EngineOrder &order, const EngineSpec &spec)
    {
        if (this->report.busy || order.expectedSequence != this->report.sequence)
            return OrderReply::Conflict;
        ++this->report.sequence;
        if (order.adapter.empty()) {
            this->underWay = order;
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
        this->overcommitted = this->overcommitted || this->used(spec) > spec.weightsMb ||
                              this->adapters() > spec.adapterSlots;
        return OrderReply::Accepted;
    }

    void finish()
    {
        if (!this->underWay)
            return;
        if (this->underWay->verb == OrderVerb::Load)
            this->report.models.push_back({this->underWay->model, {}});
        else
            std::erase_if(this->report.models, [&](const HeldModel &held) {
                return held.name == this->underWay->model;
            });
        this->underWay.reset();
        this->report.busy = false;
    }
};

} // namespace

TEST_CASE("A wished model is loaded once there is room")
{
    OrderPlanner planner;
    EngineReport report;
    report.sequence = 4;
    report.models = {{"m0", {}}, {"m1", {}}, {"m2", {}}};
    CHECK_FALSE(planner.next(report, specOf(), Start).has_value());
    REQUIRE(planner.wishModels(7, {"m0", "m1", "m3"}, Start));

    const auto order = planner.next(report, specOf(), Start);
    REQUIRE(order.has_value());
    CHECK(order->verb == OrderVerb::Unload);
    CHECK(order->model == "m2");
    CHECK(order->expectedSequence == 4);

    SUBCASE("wishes of an earlier planner are ignored")
    {
        CHECK_FALSE(planner.wishModels(6, {"m5"}, Start));
        CHECK(planner.term() == 7);
    }
    SUBCASE("wishes lapse when the planner falls silent")
    {
        CHECK_FALSE(planner.next(report, specOf(), Start + OrderPlanner::WishLifetime).has_value());
    }
    SUBCASE("nothing follows while the engine is busy")
    {
        report.busy = true;
        CHECK_FALSE(planner.next(report, specOf(), Start).has_value());
    }
    SUBCASE("a leaving engine is left alone")
    {
        report.leaving = true;
        CHECK_FALSE(planner.next(report, specOf(), Start).has_value());
    }
}

TEST_CASE("An engine that came back empty gets back the models of its last life")
{
    const EngineSpec spec = specOf();
    OrderPlanner planner;
    EngineReport report;
    report.modelsOnDisk = {"m0", "m1", "m2"};
    report.modelsInMemory = {"m3"};
    planner.restoreModels({"m2", "m5", "m3", "m0", "m1"}, Start);
    const auto first = planner.next(report, spec, Start);
    REQUIRE(first.has_value());
    CHECK(first->verb == OrderVerb::Load);
    CHECK(first->model == "m2");

    SUBCASE("in order, from copies on its host, as far as there is room")
    {
        report.models = {{"m2", {}}};
        // m5 would have to come from the weight store, which is the planner's to allow.
        CHECK(planner.next(report, spec, Start)->model == "m3");
        report.models.push_back({"m3", {}});
        CHECK(planner.next(report, spec, Start)->model == "m0");
        report.models.push_back({"m0", {}});
        CHECK_FALSE(planner.next(report, spec, Start).has_value());
    }
    SUBCASE("until a planner speaks")
    {
        CHECK(planner.wishModels(7, {"m4"}, Start));
        CHECK(planner.next(report, spec, Start)->model == "m4");
        report.models = {{"m4", {}}};
        CHECK_FALSE(planner.next(report, spec, Start).has_value());
    }
    SUBCASE("and not after the demand has moved on")
    {
        CHECK_FALSE(planner.next(report, spec, Start + OrderPlanner::RestoreLifetime).has_value());
    }
}

TEST_CASE("Adapters make way for each other within their places")
{
    OrderPlanner planner;
    EngineReport report;
    report.models = {{"m0", {"a1", "a2"}}};
    planner.wishAdapter("m0", "a3", Start);
    const auto load = planner.next(report, specOf(), Start);
    REQUIRE(load.has_value());
    CHECK(load->verb == OrderVerb::Load);
    CHECK(load->adapter == "a3");

    SUBCASE("one that is on its way takes a place")
    {
        report.adaptersInTransit = {{"m0", {"a9"}}};
        const auto order = planner.next(report, specOf(), Start);
        REQUIRE(order.has_value());
        CHECK(order->verb == OrderVerb::Unload);
    }
    SUBCASE("the one that was wished longest ago goes")
    {
        report.models = {{"m0", {"a1", "a2", "a4"}}};
        planner.wishAdapter("m0", "a1", Start - std::chrono::seconds(5));
        planner.wishAdapter("m0", "a2", Start - std::chrono::seconds(9));
        planner.wishAdapter("m0", "a4", Start - std::chrono::seconds(3));
        const auto order = planner.next(report, specOf(), Start);
        REQUIRE(order.has_value());
        CHECK(order->verb == OrderVerb::Unload);
        CHECK(order->adapter == "a2");
    }
    SUBCASE("adapters in use stay")
    {
        report.models = {{"m0", {"a1", "a2", "a4"}}};
        for (const auto *adapter : {"a1", "a2", "a4"})
            planner.wishAdapter("m0", adapter, Start - milliseconds(600));
        CHECK_FALSE(planner.next(report, specOf(), Start).has_value());
    }
    SUBCASE("no order while the engine loads a model, which it would refuse")
    {
        report.busy = true;
        CHECK_FALSE(planner.next(report, specOf(), Start).has_value());
    }
    SUBCASE("a wish whose request has given up is not followed")
    {
        CHECK_FALSE(
            planner.next(report, specOf(), Start + OrderPlanner::AdapterWishLifetime).has_value());
    }
}

TEST_CASE("No sequence of lost, late and repeated orders overcommits an engine")
{
    test::checkProperty("orders never overcommit an engine", 20261210, 300, [] {
        const EngineSpec spec = specOf();
        SimpleEngine engine;
        engine.report.models = {{"m0", {}}, {"m1", {}}, {"m2", {}}};
        OrderPlanner planner;
        std::vector<EngineOrder> late;
        Instant now = Start;
        uint64_t term = 1;
        for (int step = 0; step < 120; ++step) {
            now += milliseconds(*rc::gen::inRange(1, 400));
            switch (*rc::gen::inRange(0, 8)) {
            case 0: {
                std::vector<std::string> wish;
                for (int i = 0; i < 3; ++i)
                    wish.push_back("m" + std::to_string(*rc::gen::inRange(0, 6)));
                planner.wishModels(term += *rc::gen::inRange<uint64_t>(0, 2), wish, now);
                break;
            }
            case 1:
            case 2:
                planner.wishAdapter("m" + std::to_string(*rc::gen::inRange(0, 6)),
                                    "a" + std::to_string(*rc::gen::inRange(0, 5)), now);
                break;
            case 3:
                engine.finish();
                break;
            case 4:
                // An order that was sent long ago is carried out now.
                if (!late.empty()) {
                    const auto at = *rc::gen::inRange<size_t>(0, late.size());
                    engine.take(late[at], spec);
                }
                break;
            case 5:
                // The steward restarts and knows nothing.
                if (*rc::gen::inRange(0, 4) == 0)
                    planner = OrderPlanner();
                break;
            default: {
                const EngineReport seen = engine.report;
                const auto order = planner.next(seen, spec, now);
                if (!order)
                    break;
                const int fate = *rc::gen::inRange(0, 3);
                auto reply = OrderReply::Unknown;
                if (fate == 0)
                    late.push_back(*order);
                else if (fate == 1)
                    engine.take(*order, spec);
                else
                    reply = engine.take(*order, spec);
                planner.noteReply(*order, reply, engine.report, now);
                break;
            }
            }
            RC_ASSERT(!engine.overcommitted);
        }
    });
}
