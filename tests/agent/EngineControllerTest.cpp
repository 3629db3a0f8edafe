// An engine's controller whose calls end in ways that nobody thought of.
#include "agent/EngineController.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <stdexcept>

using namespace tray;

namespace {

/// Engine that takes every order and reports it; the first calls of a kind throw.
class ThrowingEngine : public EnginePort
{
public:
    template <typename T>
    using Call = boost::asio::awaitable<Result<T>>;

    Call<EngineReport> report(Duration) override
    {
        if (this->reportsThatThrow-- > 0)
            throw std::runtime_error("nobody thought of this");
        EngineReport report;
        report.sequence = ++this->sequence;
        co_return report;
    }

    Call<uint64_t> order(EngineOrder, Duration) override
    {
        if (this->ordersThatThrow-- > 0)
            throw std::runtime_error("nobody thought of this");
        ++this->ordersTaken;
        co_return ++this->sequence;
    }

    Call<std::unique_ptr<HttpStream>> open(HttpRequest, Duration) override
    {
        co_return Error{ErrorKind::UpstreamUnreachable, "not used"};
    }

    Call<Unit> cancel(std::string, Duration) override { co_return Unit{}; }

    int reportsThatThrow = 0;
    int ordersThatThrow = 0;
    int ordersTaken = 0;
    uint64_t sequence = 0;
};

EngineHooks quietHooks()
{
    EngineHooks hooks;
    hooks.specs = [] { return std::make_shared<const ItemSpecs>(); };
    hooks.statuses = [] { return StatusList(); };
    hooks.wish = [] { return ItemWish(); };
    hooks.mayRepair = [] { return false; };
    hooks.demand = [] { return std::vector<ItemDemand>(); };
    hooks.inUse = [] { return std::map<ItemKey, uint32_t>(); };
    hooks.onChange = [] {};
    hooks.onStale = [] {};
    return hooks;
}

} // namespace

TEST_CASE("A call to an engine that throws leaves its controller at work")
{
    boost::asio::io_context context;
    ThrowingEngine engine;
    Metrics metrics;
    EngineTimes times;
    times.reportInterval = milliseconds(20);
    times.lostAfter = milliseconds(100);
    times.quarantine = milliseconds(20);
    EngineController controller(context, engine, "u1", "pool", times, quietHooks(), metrics);
    boost::asio::co_spawn(context, controller.run(), boost::asio::detached);

    SUBCASE("one report does: the next one is read")
    {
        engine.reportsThatThrow = 1;
        context.run_for(milliseconds(200));
        CHECK(controller.ledger().hasReport());
        CHECK_FALSE(controller.isLost());
    }
    SUBCASE("all reports do: the engine counts as lost in the same time as a silent one")
    {
        engine.reportsThatThrow = 1000;
        context.run_for(milliseconds(300));
        CHECK(controller.isLost());
    }
    SUBCASE("the first order does: the engine is taken over by a later one")
    {
        engine.ordersThatThrow = 1;
        controller.takeOver(5);
        context.run_for(milliseconds(1500));
        // The order that brings the epoch, and the one that shows whether the engine obeys it.
        CHECK(engine.ordersTaken == 2);
    }
    controller.stop();
    context.restart();
    context.run_for(milliseconds(100));
}
