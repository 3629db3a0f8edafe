// Status table: the newest word wins, and changes reach those who need them.
#include "membership/StatusTable.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

using Side = StatusTable::Side;

proto::UpstreamStatus statusOf(uint64_t epoch, uint64_t sequence, uint32_t liveness = 0)
{
    proto::UpstreamStatus status;
    status.set_upstream("gpu");
    status.set_epoch(epoch);
    status.set_sequence(sequence);
    status.set_liveness(liveness);
    status.set_lost(liveness % 2 == 1);
    return status;
}

} // namespace

TEST_CASE("The newest status of an upstream stands")
{
    StatusTable table;
    REQUIRE(table.apply(statusOf(2, 5), Side::Child, "child"));
    SUBCASE("late and repeated statuses change nothing")
    {
        CHECK_FALSE(table.apply(statusOf(1, 9), Side::Child, "child"));
        CHECK_FALSE(table.apply(statusOf(2, 5), Side::Child, "child"));
        CHECK(table.position() == 1);
        CHECK(table.apply(statusOf(3, 1), Side::Parent, ""));
    }
    SUBCASE("a child does not hear its own word, and a parent's word does not go up")
    {
        CHECK(table.changedAfter(0, "child").empty());
        CHECK(table.changedAfter(0, "other").size() == 1);
        CHECK(table.changedBelow(0).size() == 1);
        REQUIRE(table.apply(statusOf(2, 6), Side::Parent, ""));
        CHECK(table.changedBelow(0).empty());
    }
    SUBCASE("a mark of loss that was refuted reaches the child: it may hold the mark itself")
    {
        table.refute(statusOf(2, 5, 1));
        CHECK_FALSE(table.find("gpu")->lost());
        CHECK(table.changedAfter(0, "child").size() == 1);
        CHECK(table.changedBelow(0).size() == 1);
    }
    SUBCASE("a status that changed since it was checked is not marked")
    {
        const auto seen = table.find("gpu");
        REQUIRE(table.apply(statusOf(2, 6), Side::Child, "child"));
        CHECK_FALSE(table.markLost(seen));
        CHECK(table.markLost(table.find("gpu")));
        CHECK(table.find("gpu")->lost());
    }
}
