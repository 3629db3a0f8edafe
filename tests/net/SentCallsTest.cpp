// Tests of what a client remembers of the calls that it has sent.
#include "net/SentCalls.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("A client remembers the calls that it has sent")
{
    SentCalls calls;
    Instant now{};
    calls.record(1, 10, now);
    SUBCASE("with their connections")
    {
        calls.record(1, 11, now);
        CHECK(calls.contains(1));
        CHECK(calls.contains(1, 10));
        CHECK(calls.contains(1, 11));
        CHECK_FALSE(calls.contains(1, 12));
        CHECK_FALSE(calls.contains(2));
        CHECK(calls.forgottenUntil() == Instant::min());
    }
    SUBCASE("for longer than callers wait, and tells until when it has forgotten some")
    {
        now += SentCalls::Lifetime - milliseconds(1);
        calls.record(1, 11, now);
        CHECK(calls.contains(1, 10));
        calls.record(2, 10, now + milliseconds(1));
        CHECK_FALSE(calls.contains(1, 10));
        CHECK(calls.contains(1, 11));
        CHECK(calls.forgottenUntil() == Instant{});
    }
    SUBCASE("of which it keeps the latest, however many there are")
    {
        now += milliseconds(1);
        for (uint64_t call = 2; call <= SentCalls::MaxCalls; ++call)
            calls.record(call, 10, now);
        CHECK(calls.contains(1));
        calls.record(SentCalls::MaxCalls + 1, 10, now);
        CHECK_FALSE(calls.contains(1));
        CHECK(calls.contains(2));
        CHECK(calls.forgottenUntil() == Instant{});
    }
    SUBCASE("and forgets each sending of a call by itself")
    {
        calls.record(1, 10, now + milliseconds(1));
        calls.record(2, 10, now + SentCalls::Lifetime);
        CHECK(calls.contains(1, 10));
        calls.record(3, 10, now + SentCalls::Lifetime + milliseconds(1));
        CHECK_FALSE(calls.contains(1));
    }
}
