// How a list of several pages is read on.
#include "fleet/ListCursor.h"

#include "fleet/StorePosition.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

constexpr Instant Start{std::chrono::seconds(100)};
constexpr uint64_t Position = makePosition(1, 50);

Error failure(ErrorKind kind = ErrorKind::PlatformUnavailable)
{
    return {kind, "the store answered 429"};
}

} // namespace

TEST_CASE("A list counts as whole only if it was read to its end")
{
    ListCursor cursor(Start);
    REQUIRE(isOk(cursor.handlePage({2, "b", true, Position}, Start)));
    CHECK_FALSE(cursor.isComplete());
    CHECK(cursor.after() == "b");

    SUBCASE("the last page ends it, also without a name")
    {
        REQUIRE(isOk(cursor.handlePage({1, "", false, Position + 3}, Start)));
        CHECK(cursor.isComplete());
        CHECK(cursor.objects() == 3);
        CHECK(cursor.position() == Position);
    }
    SUBCASE("a page without a name does not")
    {
        const auto handled = cursor.handlePage({1, "", true, Position}, Start);
        REQUIRE_FALSE(isOk(handled));
        CHECK(error(handled).kind == ErrorKind::PlatformUnavailable);
        CHECK_FALSE(cursor.isComplete());
    }
    SUBCASE("a page that was read before is an error, directly or after others")
    {
        REQUIRE(isOk(cursor.handlePage({1, "a", true, Position}, Start)));
        CHECK_FALSE(isOk(cursor.handlePage({2, "b", true, Position}, Start)));
        CHECK_FALSE(cursor.isComplete());
    }
    SUBCASE("a page of another era is stale")
    {
        const auto handled = cursor.handlePage({1, "c", true, makePosition(2, 50)}, Start);
        REQUIRE_FALSE(isOk(handled));
        CHECK(error(handled).kind == ErrorKind::Stale);
    }
    SUBCASE("there is no bound on the number of pages")
    {
        for (int i = 0; i < 1200; ++i)
            REQUIRE(isOk(cursor.handlePage({1, "c" + std::to_string(i), true, Position}, Start)));
        REQUIRE(isOk(cursor.handlePage({1, "d", false, Position}, Start)));
        CHECK(cursor.pages() == 1202);
    }
}

TEST_CASE("A page that the store refuses is read again without the pages before it")
{
    ListCursor cursor(Start);

    SUBCASE("a first page is left to the caller")
    {
        CHECK_FALSE(cursor.handleFailure(failure(), Start).has_value());
    }
    SUBCASE("a later one is read again after rising pauses, for a bounded time")
    {
        REQUIRE(isOk(cursor.handlePage({2, "b", true, Position}, Start)));
        Instant now = Start;
        Duration previous = Duration::zero();
        while (const auto pause = cursor.handleFailure(failure(), now)) {
            CHECK(*pause > previous);
            previous = *pause;
            now += *pause;
        }
        CHECK(now > Start + ListCursor::RetryTime / 4);
        CHECK(now < Start + ListCursor::RetryTime);
        CHECK(cursor.after() == "b");
    }
    SUBCASE("the time begins anew with each page")
    {
        REQUIRE(isOk(cursor.handlePage({2, "b", true, Position}, Start)));
        const Instant late = Start + 2 * ListCursor::RetryTime;
        CHECK_FALSE(cursor.handleFailure(failure(), late).has_value());
        REQUIRE(isOk(cursor.handlePage({2, "c", true, Position}, late)));
        CHECK(cursor.handleFailure(failure(), late) == ListCursor::InitialPause);
    }
    SUBCASE("a history that is gone is not read again")
    {
        REQUIRE(isOk(cursor.handlePage({2, "b", true, Position}, Start)));
        CHECK_FALSE(cursor.handleFailure(failure(ErrorKind::Stale), Start).has_value());
    }
}
