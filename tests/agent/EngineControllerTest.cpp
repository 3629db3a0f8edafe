// An engine controller keeps working when calls to its engine throw.
#include "agent/EngineController.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <stdexcept>

using namespace tray;

namespace {

/// Engine that accepts every command and reports it; the first calls of a kind throw.
class ThrowingEngine : public EnginePort
{
public:
    template <typename T>
    using Call = boost::asio::awaitable<Result<T>>;

    Call<EngineStatus> fetchStatus(Duration) override
    {
        if (this->failingReports-- > 0)
            throw std::runtime_error("unexpected failure");
        EngineStatus report;
        report.sequence = ++this->sequence;
        co_return report;
    }

    Call<uint64_t> sendCommand(EngineCommand, Duration) override
    {
        if (this->failingCommands-- > 0)
            throw std::runtime_error("unexpected failure");
        ++this->acceptedCommands;
        co_return ++this->sequence;
    }

    Call<std::unique_ptr<HttpStream>> open(HttpRequest, Duration) override
    {
        co_return Error{ErrorKind::UpstreamUnreachable, "not used"};
    }

    Call<Unit> cancel(std::string, Duration) override { co_return Unit{}; }

    int failingReports = 0;
    int failingCommands = 0;
    int acceptedCommands = 0;
    uint64_t sequence = 0;
};

EngineHooks emptyHooks()
{
    EngineHooks hooks;
    hooks.requirements = [] { return std::make_shared<const ItemRequirements>(); };
    hooks.statuses = [] { return StatusList(); };
    hooks.requestedItems = [] { return RequestedItems(); };
    hooks.mayRepair = [] { return false; };
    hooks.demand = [] { return std::vector<ItemDemand>(); };
    hooks.inUse = [] { return std::map<ItemKey, uint32_t>(); };
    hooks.onChange = [] {};
    hooks.onSuperseded = [] {};
    return hooks;
}

} // namespace

TEST_CASE("The controller keeps working after a call to its engine throws")
{
    boost::asio::io_context context;
    ThrowingEngine engine;
    Metrics metrics;
    EngineTimes times;
    times.reportInterval = milliseconds(20);
    times.lostTimeout = milliseconds(100);
    times.quarantine = milliseconds(20);
    EngineController controller(context, engine, "u1", "pool", times, emptyHooks(), metrics);
    boost::asio::co_spawn(context, controller.run(), boost::asio::detached);

    SUBCASE("one report call throws: the next report is read")
    {
        engine.failingReports = 1;
        context.run_for(milliseconds(200));
        CHECK(controller.ledger().hasReport());
        CHECK_FALSE(controller.isLost());
    }
    SUBCASE("all report calls throw: the engine counts as lost after the same time as an "
            "unresponsive one")
    {
        engine.failingReports = 1000;
        context.run_for(milliseconds(300));
        CHECK(controller.isLost());
    }
    SUBCASE("the first command throws: a later one acquires control of the engine")
    {
        engine.failingCommands = 1;
        controller.acquireControl(5);
        context.run_for(milliseconds(1500));
        // The command that passes the epoch, and the one that shows whether the engine obeys it.
        CHECK(engine.acceptedCommands == 2);
    }
    controller.stop();
    context.restart();
    context.run_for(milliseconds(100));
}
