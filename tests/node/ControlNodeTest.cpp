// Control nodes over loopback: configuration, statuses and suspects reach everyone.
#include "node/NodeCluster.h"

#include "ctl/TicketSubmitter.h"

#include <doctest/doctest.h>

using namespace tray;
using namespace tray::test;

namespace {

proto::Ticket tierTicket(uint64_t number)
{
    proto::Ticket ticket;
    ticket.set_number(number);
    auto &object = *ticket.add_objects();
    object.set_name("gold");
    object.mutable_tier()->set_deadline_ms(static_cast<uint32_t>(1000 + number));
    return ticket;
}

} // namespace

TEST_CASE("Two nodes and a platform share their state")
{
    TestPlatform platform;
    auto first = startNode({"a", "dc", "r", "entry", ""}, platform.address);
    auto second = startNode({"b", "dc", "r", "agent", "gpu"}, platform.address);
    REQUIRE(eventually(std::chrono::seconds(5), [&] {
        return first->node->instances()->instances_size() == 2 &&
               second->node->instances()->instances_size() == 2;
    }));
    proto::UpstreamStatus status;
    status.set_upstream("gpu");
    status.set_epoch(1);
    status.set_sequence(1);
    status.set_instance("b");
    status.set_control_address(toString(second->control));
    second->node->setOwnStatus(status);
    CHECK(
        eventually(std::chrono::seconds(3), [&] { return first->node->statuses()->size() == 1; }));
    first->node->reportCrash(77, "gpu", std::chrono::steady_clock::now());
    CHECK(eventually(std::chrono::seconds(3), [&] {
        return second->node->crashesOf(77, std::chrono::steady_clock::now()) == 1;
    }));
    TicketSubmitter submitter(first->node->objectApi(), [] { return 0.5; });
    const auto accepted = first->wait(submitter.submit(
        tierTicket(1), {}, std::chrono::steady_clock::now() + std::chrono::seconds(5)));
    REQUIRE(isOk(accepted));
    CHECK(eventually(std::chrono::seconds(4), [&] {
        return first->node->headVersion() == 1 && second->node->headVersion() == 1;
    }));
    CHECK(first->node->catalogue()->findTier("gold")->deadline_ms() == 1001);
    CHECK(first->node->isFresh(std::chrono::steady_clock::now()));
    CHECK(second->node->isFresh(std::chrono::steady_clock::now()));
}
