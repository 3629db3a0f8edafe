// Planner candidates of one region over loopback: one of them writes the placement, and the other
// is its successor.
#include "node/PlannerService.h"
#include "ctl/TicketSubmitter.h"
#include "node/NodeCluster.h"

#include <doctest/doctest.h>

using namespace tray;
using namespace tray::test;

namespace {

struct PlannerNode
{
    PlannerNode(const std::string &name, const Address &platform)
        : base(startNode({name, "dc", "r", "agent", name + "-gpu"}, platform))
    {
        PlannerServiceSettings settings;
        settings.interval = milliseconds(100);
        settings.lease = milliseconds(1500);
        this->planner =
            std::make_unique<PlannerService>(base->context, *base->node, base->metrics, settings);
        proto::UpstreamStatus status;
        status.set_upstream(name + "-gpu");
        status.set_instance(name);
        status.set_epoch(1);
        status.set_sequence(1);
        status.set_pool("gpu");
        status.set_region("r");
        status.set_memory_bytes(40'000'000'000);
        status.set_concurrency(16);
        status.set_control_address(toString(base->control));
        base->node->setOwnStatus(status);
        this->planner->start();
    }

    ~PlannerNode()
    {
        this->base->context.stop();
        this->base->thread.join();
        this->planner.reset();
    }

    std::unique_ptr<TestNode> base;
    std::unique_ptr<PlannerService> planner;
};

proto::Ticket modelTicket()
{
    proto::Ticket ticket;
    ticket.set_number(1);
    auto &pool = *ticket.add_objects();
    pool.set_name("gpu");
    pool.mutable_pool()->set_engines(true);
    for (const char *name : {"one", "two"}) {
        auto &object = *ticket.add_objects();
        object.set_name(name);
        object.mutable_model()->set_pool("gpu");
        object.mutable_model()->set_version("v1");
        object.mutable_model()->set_weight_bytes(10'000'000'000);
        object.mutable_model()->set_kv_bytes_per_token(1000);
        object.mutable_model()->set_max_context_tokens(1000);
        object.mutable_model()->set_min_replicas(1);
    }
    return ticket;
}

} // namespace

// Guards against a region without a planner, and against a requested placement that is rewritten in
// a steady state.
TEST_CASE("One planner writes the requested placement, and its successor keeps it")
{
    TestPlatform platform;
    std::vector<std::unique_ptr<PlannerNode>> nodes;
    for (const char *name : {"a", "b"})
        nodes.push_back(std::make_unique<PlannerNode>(name, platform.address));
    const auto countHolders = [&] {
        return std::count_if(nodes.begin(), nodes.end(),
                             [](const auto &node) { return node->planner->isHolder(); });
    };
    REQUIRE(eventually(std::chrono::seconds(8), [&] { return countHolders() == 1; }));
    TicketSubmitter submitter(nodes[0]->base->node->objectApi(), [] { return 0.5; });
    REQUIRE(isOk(nodes[0]->base->wait(submitter.submit(
        modelTicket(), {}, std::chrono::steady_clock::now() + std::chrono::seconds(5)))));
    const auto models = [&](const ControlNode &node) {
        int count = 0;
        for (const char *upstream : {"a-gpu", "b-gpu"}) {
            if (const auto placement = node.requestedPlacement(upstream))
                count += placement->models_size();
        }
        return count;
    };
    REQUIRE(
        eventually(std::chrono::seconds(8), [&] { return models(*nodes[0]->base->node) == 2; }));

    const size_t holder = nodes[0]->planner->isHolder() ? 0 : 1;
    const size_t other = 1 - holder;
    nodes[holder].reset();
    CHECK(eventually(std::chrono::seconds(8), [&] { return nodes[other]->planner->isHolder(); }));
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(nodes[other]->base->metrics.counter("tray_planner_wishes_total").get() == 0);
    CHECK(models(*nodes[other]->base->node) == 2);
}
