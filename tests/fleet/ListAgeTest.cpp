// The age of the instance list. Guards against requests to upstreams that have left while the
// instance stood still or its news was late.
#include "fleet/ListAge.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

const Instant Start{std::chrono::hours(1)};

/// Lets the process run until a time.
void runUntil(ListAge &age, Instant from, Instant to)
{
    for (Instant now = from; now < to; now += ListRelay::CheckPeriod)
        age.noteRunning(now);
}

} // namespace

TEST_CASE("Requests wait for a newer list if the one in hand is overdue")
{
    ListAge age;
    CHECK(age.waitTime(Start) == Duration::zero());
    age.noteRead(Start, Start);
    const Instant overdueAt = Start + ListAge::MaxAge;
    runUntil(age, Start, overdueAt);
    CHECK(age.waitTime(overdueAt - milliseconds(1)) == Duration::zero());

    SUBCASE("until one is read")
    {
        CHECK(age.waitTime(overdueAt) == ListAge::MaxWait);
        age.noteRead(overdueAt, overdueAt + milliseconds(20));
        CHECK(age.waitTime(overdueAt + milliseconds(20)) == Duration::zero());
    }
    SUBCASE("until a reader confirms it")
    {
        CHECK(age.waitTime(overdueAt) == ListAge::MaxWait);
        age.noteHeard(overdueAt - milliseconds(500), overdueAt + milliseconds(20));
        CHECK(age.waitTime(overdueAt + milliseconds(20)) == Duration::zero());
    }
    SUBCASE("but only for a short time, and once, while the store does not answer")
    {
        CHECK(age.waitTime(overdueAt) == ListAge::MaxWait);
        CHECK(age.waitTime(overdueAt + milliseconds(100)) == ListAge::MaxWait - milliseconds(100));
        CHECK(age.waitTime(overdueAt + ListAge::MaxWait) == Duration::zero());
        CHECK(age.waitTime(overdueAt + std::chrono::seconds(5)) == Duration::zero());
    }
    SUBCASE("and again when a later list is overdue")
    {
        CHECK(age.waitTime(overdueAt) == ListAge::MaxWait);
        age.noteRead(overdueAt, overdueAt);
        CHECK(age.waitTime(overdueAt) == Duration::zero());
        runUntil(age, overdueAt, overdueAt + ListAge::MaxAge);
        CHECK(age.waitTime(overdueAt + ListAge::MaxAge) == ListAge::MaxWait);
    }
}

TEST_CASE("Datagrams that a pause has delayed do not make a list newer")
{
    ListAge age;
    age.noteRead(Start, Start);
    const Instant resumedAt = Start + std::chrono::seconds(4);
    age.noteHeard(resumedAt, resumedAt);
    CHECK(age.isOverdue(resumedAt));
    age.noteHeard(resumedAt + ListAge::BacklogTime, resumedAt + ListAge::BacklogTime);
    CHECK_FALSE(age.isOverdue(resumedAt + ListAge::BacklogTime));
}
