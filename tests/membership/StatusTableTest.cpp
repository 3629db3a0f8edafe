// Status table: the newest status wins, and changes are sent to the neighbours that need them.
#include "membership/StatusTable.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

using StatusSource = StatusTable::StatusSource;

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

TEST_CASE("The status table keeps the newest status of an upstream")
{
    StatusTable table;
    REQUIRE(table.apply(statusOf(2, 5), StatusSource::Child, "child"));
    SUBCASE("late and repeated statuses change nothing")
    {
        CHECK_FALSE(table.apply(statusOf(1, 9), StatusSource::Child, "child"));
        CHECK_FALSE(table.apply(statusOf(2, 5), StatusSource::Child, "child"));
        CHECK(table.position() == 1);
        CHECK(table.apply(statusOf(3, 1), StatusSource::Parent, ""));
    }
    SUBCASE("a status is not sent back to the child or the parent that reported it")
    {
        CHECK(table.changedAfter(0, "child").empty());
        CHECK(table.changedAfter(0, "other").size() == 1);
        CHECK(table.changedInSubtree(0).size() == 1);
        REQUIRE(table.apply(statusOf(2, 6), StatusSource::Parent, ""));
        CHECK(table.changedInSubtree(0).empty());
    }
    SUBCASE("an overridden lost mark is sent to the reporting child, which may hold it")
    {
        table.overrideLostMark(statusOf(2, 5, 1));
        CHECK_FALSE(table.find("gpu")->lost());
        CHECK(table.changedAfter(0, "child").size() == 1);
        CHECK(table.changedInSubtree(0).size() == 1);
    }
    SUBCASE("a status that changed after the check is not marked as lost")
    {
        const auto seen = table.find("gpu");
        REQUIRE(table.apply(statusOf(2, 6), StatusSource::Child, "child"));
        CHECK_FALSE(table.markLost(seen));
        CHECK(table.markLost(table.find("gpu")));
        CHECK(table.find("gpu")->lost());
    }
}
