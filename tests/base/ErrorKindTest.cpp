// Answer table of the error kinds.
#include "base/ErrorKind.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("Every error kind has one answer")
{
    SUBCASE("a kind without a row would be answered as an internal error")
    {
        for (const auto &row : EnumNames<ErrorKind>::Table)
            CHECK(errorAnswer(row.value).kind == row.value);
    }
    SUBCASE("a kind that may have run must never be answered as not run")
    {
        for (const auto kind : {ErrorKind::OutcomeUnknown, ErrorKind::UpstreamFailed,
                                ErrorKind::StreamBroken, ErrorKind::Timeout, ErrorKind::Internal})
            CHECK(errorAnswer(kind).ran == Ran::Unknown);
    }
    SUBCASE("an unknown number from a newer peer falls back to an internal error")
    {
        CHECK(errorAnswer(static_cast<ErrorKind>(9999)).kind == ErrorKind::Internal);
    }
}
