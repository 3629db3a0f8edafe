// Tests which directives of upstreams apply, to whom and for how long.
#include "dispatch/UpstreamDirectives.h"

#include "dispatch/LimitShare.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace tray;

namespace {

constexpr uint64_t Born = 7;

AnswerDirectives limitOf(double perSecond)
{
    AnswerDirectives directives;
    directives.limitPerSecond = perSecond;
    return directives;
}

/// Sends whenever that is allowed; returns the number of requests within the time.
int sendGreedily(UpstreamDirectives &directives, Instant from, Duration time)
{
    int sent = 0;
    for (Instant now = from; now < from + time; now += milliseconds(10)) {
        if (!directives.verdict("a", Born, now).isAllowed())
            continue;
        directives.noteSent("a", now);
        ++sent;
    }
    return sent;
}

} // namespace

TEST_CASE("An upstream that names a limit is sent this instance's share of it")
{
    const Instant start{std::chrono::hours(1)};
    double part = 0.5;
    Duration recheckAfter{};
    UpstreamDirectives directives([&](const std::string &, double limit) {
        return LimitShare{part * limit, recheckAfter};
    });
    CHECK(directives.noteAnswer("a", Born, limitOf(2), true, start) == DirectiveKind::Limit);
    SUBCASE("from the answer on that names it, and no faster after a pause")
    {
        CHECK(sendGreedily(directives, start, std::chrono::seconds(8)) == 7);
        CHECK(sendGreedily(directives, start + std::chrono::seconds(20), milliseconds(900)) == 1);
    }
    SUBCASE("as the number of instances changes")
    {
        part = 0.25;
        directives.refresh(start);
        CHECK(sendGreedily(directives, start, std::chrono::seconds(8)) == 3);
    }
    SUBCASE("as the number that it names changes")
    {
        CHECK(directives.noteAnswer("a", Born, limitOf(4), true, start) == DirectiveKind::Limit);
        CHECK(directives.noteAnswer("a", Born, limitOf(4), true, start) == DirectiveKind::None);
        CHECK(sendGreedily(directives, start, std::chrono::seconds(4)) == 7);
    }
    SUBCASE("until an answer of its own names none")
    {
        directives.noteAnswer("a", Born, {}, false, start);
        CHECK(!directives.verdict("a", Born, start).isAllowed());
        CHECK(directives.noteAnswer("a", Born, {}, true, start) == DirectiveKind::Limit);
        CHECK(directives.verdict("a", Born, start).isAllowed());
    }
    SUBCASE("until nothing has been heard of it for long")
    {
        part = 0;
        directives.refresh(start);
        const Instant end = start + UpstreamDirectives::LimitLifetime;
        CHECK(!directives.verdict("a", Born, end - milliseconds(1)).isAllowed());
        CHECK(directives.verdict("a", Born, end).isAllowed());
        // With many instances, each one looks less often.
        recheckAfter = std::chrono::seconds(200);
        directives.noteAnswer("a", Born, limitOf(2), true, start);
        CHECK(!directives.verdict("a", Born, end).isAllowed());
        CHECK(directives.verdict("a", Born, start + recheckAfter).isAllowed());
    }
    SUBCASE("not after a restart, and an old answer changes nothing then")
    {
        CHECK(directives.verdict("a", Born + 1, start).isAllowed());
        directives.noteAnswer("a", Born + 1, limitOf(9), true, start);
        directives.noteAnswer("a", Born, limitOf(1), true, start);
        CHECK(directives.limitOf("a", start) == 9);
    }
    SUBCASE("and others are sent to as before")
    {
        CHECK(directives.verdict("b", Born, start).isAllowed());
    }
    SUBCASE("not at all if it names 0, and the wait that is reported ends")
    {
        directives.noteAnswer("a", Born, limitOf(0), true, start);
        const auto verdict = directives.verdict("a", Born, start);
        CHECK(verdict.forbiddenBy == DirectiveKind::Limit);
        CHECK(verdict.allowedIn == UpstreamDirectives::LimitLifetime);
    }
}

TEST_CASE("The directives of many upstreams take bounded memory")
{
    const Instant start{std::chrono::hours(1)};
    UpstreamDirectives directives;
    for (size_t i = 0; i < UpstreamDirectives::MaxUpstreams + 10; ++i)
        directives.noteAnswer(fmt::format("u{}", i), Born, limitOf(1), true,
                              start + milliseconds(i));
    CHECK(!directives.limitOf("u0", start));
    CHECK(directives.limitOf(fmt::format("u{}", UpstreamDirectives::MaxUpstreams), start));
}

TEST_CASE("The shares of all instances add up to the limit and are few enough for it")
{
    for (const size_t instances : {1, 4, 20, 400}) {
        for (const double limit : {0.0, 0.2, 1.0, 7.5, 300.0}) {
            CAPTURE(instances);
            CAPTURE(limit);
            std::vector<LimitSharer> sharers;
            for (size_t i = 0; i < instances; ++i)
                sharers.push_back({fmt::format("front-{}", i), static_cast<int>(i % 3)});
            double sum = 0;
            double count = 0;
            double rechecks = 0;
            for (const auto &sharer : sharers) {
                const auto share = computeLimitShare(sharer.instance, "a", sharers, limit);
                sum += share.perSecond;
                count += share.perSecond > 0 ? 1 : 0;
                rechecks += share.perSecond > 0
                                ? 0
                                : 4 / std::chrono::duration<double>(share.recheckAfter).count();
            }
            CHECK(sum == doctest::Approx(limit));
            // In 4 s, the savings of all and the limit itself stay within the platform's bound.
            CHECK(count + 4 * limit <= 6 * limit + 5);
            if (limit > 0)
                CHECK(count + 4 * limit + rechecks <= 6 * limit + 5);
            const auto nearest =
                computeLimitShare("front-0", "a", {{"front-0", 0}, {"front-1", 2}}, 1);
            CHECK(nearest.perSecond > 0);
        }
    }
    CHECK(computeLimitShare("unknown", "a", {{"front-0", 0}}, 1).perSecond == 0);
}
