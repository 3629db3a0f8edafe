// Tests which requests may still be served during a graceful shutdown.
#include "gateway/ShutdownSchedule.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("A request waits during a shutdown only if its response is expected to complete in time")
{
    ShutdownSchedule window;
    const Instant start{std::chrono::hours(1)};
    constexpr Duration Grace = std::chrono::seconds(8);
    constexpr Duration Left =
        Grace - ShutdownSchedule::ExitMargin - ShutdownSchedule::MinFinalResponseTime;
    constexpr double Cores = 0.1;

    SUBCASE("every request is accepted without a shutdown")
    {
        CHECK(window.canFinish("tell", std::chrono::hours(1), start));
        CHECK_FALSE(window.isStopping());
        CHECK_FALSE(window.isDrainOver(start));
    }
    SUBCASE("a response must begin before the final responses are written")
    {
        window.begin(start, Grace, Cores);
        CHECK(window.canFinish("tell", Left, start));
        CHECK_FALSE(window.canFinish("tell", Left + milliseconds(1), start));
        CHECK_FALSE(window.canFinish("tell", Left, start + milliseconds(1)));
        CHECK_FALSE(window.isDrainOver(start + Left - milliseconds(1)));
        CHECK(window.isDrainOver(start + Left));
        CHECK(window.finalResponseDeadline() < start + Grace);
    }
    SUBCASE("more requests in flight need more time for their final responses")
    {
        window.begin(start, Grace, Cores);
        constexpr size_t InFlight = 200;
        constexpr Duration Needed = 10 * InFlight * ShutdownSchedule::FinalResponseCpuTime;
        window.reserveFinalResponses(InFlight);
        CHECK(window.answerDeadline() == start + Left - Needed);
        CHECK(window.isAnswerDue(start + Left - Needed));
        CHECK_FALSE(window.canFinish("tell", Left, start));
        window.reserveFinalResponses(0);
        CHECK(window.answerDeadline() == start + Left);
        window.reserveFinalResponses(1000000);
        CHECK(window.answerDeadline() == start + Grace / 2);
        // Streams that have begun keep their time.
        CHECK(window.drainDeadline() == start + Left);
        CHECK_FALSE(window.isDrainOver(start + Left - milliseconds(1)));
        CHECK(window.finalResponseDeadline() == start + Grace - ShutdownSchedule::ExitMargin);
    }
    SUBCASE("the mean time from first byte to end of the route's responses is added")
    {
        for (int i = 0; i < 50; ++i)
            window.recordResponse("tell", std::chrono::seconds(3), std::chrono::seconds(3));
        window.begin(start, Grace, Cores);
        CHECK(window.canFinish("tell", Left - std::chrono::seconds(3), start));
        CHECK_FALSE(window.canFinish("tell", Left - std::chrono::seconds(2), start));
        CHECK(window.canFinish("ask", Left - std::chrono::seconds(2), start));
    }
    SUBCASE("the mean follows a change of the response durations")
    {
        window.recordResponse("tell", std::chrono::seconds(30), std::chrono::seconds(30));
        for (int i = 0; i < 100; ++i)
            window.recordResponse("tell", milliseconds(100), milliseconds(100));
        window.begin(start, Grace, Cores);
        CHECK(window.canFinish("tell", Left - milliseconds(200), start));
    }
    SUBCASE("a request is sent only if most answers of its route are short enough")
    {
        const Instant far = start + std::chrono::hours(1);
        CHECK(window.canStart("take", far, start));
        window.begin(start, Grace, Cores);
        CHECK_FALSE(window.canStart("take", far, start));
        for (int i = 0; i < 40; ++i)
            window.recordResponse("take", Duration::zero(),
                                  std::chrono::seconds(i % 4 == 0 ? 3 : 1));
        CHECK(window.canStart("take", far, start));
        CHECK_FALSE(window.canStart("take", far, start + Left - std::chrono::seconds(3)));
        CHECK_FALSE(window.canStart("other", far, start));
    }
    SUBCASE("or if its deadline passes before the final responses are due")
    {
        window.begin(start, Grace, Cores);
        CHECK(window.canStart("take", start + Left, start));
        CHECK_FALSE(window.canStart("take", start + Left + milliseconds(1), start));
    }
}
