// Which requests still fit into a stop.
#include "gateway/StopWindow.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("A request waits during a stop only if its answer is expected to be whole in time")
{
    StopWindow window;
    const Instant start{std::chrono::hours(1)};
    constexpr Duration Grace = std::chrono::seconds(8);
    constexpr Duration Left = Grace - StopWindow::ExitMargin - StopWindow::FinalAnswerTime;

    SUBCASE("without a stop everything fits")
    {
        CHECK(window.fits("tell", std::chrono::hours(1), start));
        CHECK_FALSE(window.isStopping());
        CHECK_FALSE(window.isOver(start));
    }
    SUBCASE("during one, what begins before the final answers are written")
    {
        window.begin(start, Grace);
        CHECK(window.fits("tell", Left, start));
        CHECK_FALSE(window.fits("tell", Left + milliseconds(1), start));
        CHECK_FALSE(window.fits("tell", Left, start + milliseconds(1)));
        CHECK_FALSE(window.isOver(start + Left - milliseconds(1)));
        CHECK(window.isOver(start + Left));
        CHECK(window.end() < start + Grace);
    }
    SUBCASE("the usual time of the route's answers after their first bytes counts")
    {
        for (int i = 0; i < 50; ++i)
            window.noteRest("tell", std::chrono::seconds(3));
        window.begin(start, Grace);
        CHECK(window.fits("tell", Left - std::chrono::seconds(3), start));
        CHECK_FALSE(window.fits("tell", Left - std::chrono::seconds(2), start));
        CHECK(window.fits("ask", Left - std::chrono::seconds(2), start));
    }
    SUBCASE("and follows a change of it")
    {
        window.noteRest("tell", std::chrono::seconds(30));
        for (int i = 0; i < 100; ++i)
            window.noteRest("tell", milliseconds(100));
        window.begin(start, Grace);
        CHECK(window.fits("tell", Left - milliseconds(200), start));
    }
}
