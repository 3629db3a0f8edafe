// Tests of the table that maps error kinds to answers.
#include "base/ErrorKind.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("Every error kind has one answer")
{
    SUBCASE("each kind has a row of its own; without one it would be answered as an internal error")
    {
        for (const auto &row : EnumNames<ErrorKind>::Table)
            CHECK(errorAnswer(row.value).kind == row.value);
    }
    SUBCASE("an error whose request may have run is not reported as not run")
    {
        for (const auto kind : {ErrorKind::OutcomeUnknown, ErrorKind::UpstreamFailed,
                                ErrorKind::StreamBroken, ErrorKind::Timeout, ErrorKind::Internal})
            CHECK(errorAnswer(kind).ran == Ran::Unknown);
    }
    SUBCASE("an unknown value from a newer peer is answered as an internal error")
    {
        CHECK(errorAnswer(static_cast<ErrorKind>(9999)).kind == ErrorKind::Internal);
    }
}
