// Tests of the budget of log lines and of what happens to lines that do not fit.
#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

using namespace tray;

namespace {

int countWritten(LogBudget &budget, LogPriority priority, Instant now, int lines)
{
    int written = 0;
    for (int i = 0; i < lines; ++i)
        written += budget.tryConsume(priority, now) ? 1 : 0;
    return written;
}

/// Replaces standard output by a pipe that is read only on request.
class CapturedOutput
{
public:
    CapturedOutput()
    {
        REQUIRE(::pipe2(this->ends.data(), O_NONBLOCK) == 0);
        this->saved = ::dup(STDOUT_FILENO);
        ::dup2(this->ends[1], STDOUT_FILENO);
    }

    ~CapturedOutput()
    {
        ::dup2(this->saved, STDOUT_FILENO);
        ::close(this->saved);
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    std::string read()
    {
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t size = 0; (size = ::read(this->ends[0], buffer.data(), buffer.size())) > 0;)
            text.append(buffer.data(), static_cast<size_t>(size));
        return text;
    }

private:
    std::array<int, 2> ends{};
    int saved = -1;
};

} // namespace

TEST_CASE("Log lines of a higher priority are dropped last")
{
    const Instant now{std::chrono::seconds(100)};
    LogBudget budget;
    SUBCASE("a flood of routine lines leaves room for notable and essential ones")
    {
        CHECK(countWritten(budget, LogPriority::Routine, now, 1000) == 200);
        CHECK(countWritten(budget, LogPriority::Notable, now, 1000) == 200);
        CHECK(countWritten(budget, LogPriority::Essential, now, 1000) == 400);
    }
    SUBCASE("a flood of notable lines leaves room for essential ones only")
    {
        CHECK(countWritten(budget, LogPriority::Notable, now, 1000) == 400);
        CHECK(countWritten(budget, LogPriority::Routine, now, 1) == 0);
        CHECK(countWritten(budget, LogPriority::Essential, now, 1) == 1);
    }
    SUBCASE("all lines of a second are bounded, and those that were dropped are counted")
    {
        CHECK(countWritten(budget, LogPriority::Essential, now, 1000) == 800);
        CHECK(budget.takeDropped() == 200);
        CHECK(countWritten(budget, LogPriority::Routine, now + std::chrono::seconds(1), 1) == 1);
    }
}

TEST_CASE("A line that is too long for the output is shortened and not lost")
{
    CHECK(truncateLogLine("abcdef", 6) == "abcdef");
    CHECK(truncateLogLine("abcdefg", 6) == "abc...");
}

TEST_CASE("A text from outside adds neither a line nor a pair to the log")
{
    const auto line = [](std::string_view text) {
        return fmt::format("name={} reason={:?} end=1", LogText{text}, text);
    };
    CHECK(line("i-1") == R"(name=i-1 reason="i-1" end=1)");
    CHECK(line("a/b@2,c:3") == R"(name=a/b@2,c:3 reason="a/b@2,c:3" end=1)");
    CHECK(line("a event=x") == R"(name="a event=x" reason="a event=x" end=1)");
    CHECK(line("a\" b=\"") == R"(name="a\" b=\"" reason="a\" b=\"" end=1)");
    CHECK(line("a\r\nb").find_first_of("\r\n") == std::string::npos);
    CHECK(line("\xff\xfe") == R"(name="\xff\xfe" reason="\xff\xfe" end=1)");

    const auto previous = spdlog::default_logger();
    std::string text;
    {
        CapturedOutput output;
        setUpDecisionLog("test");
        spdlog::warn("event=one name=v\r\nevent=two\x1b[2J");
        logDecision(LogPriority::Essential, clockNow(), "event=long " + std::string(3000, '\n'));
        text = output.read();
    }
    spdlog::set_default_logger(previous);
    CHECK(std::count(text.begin(), text.end(), '\n') == 2);
    CHECK(text.find("event=long") != std::string::npos);
    CHECK(text.find(R"(event=one name=v\x0d\x0aevent=two\x1b[2J)") != std::string::npos);
}

TEST_CASE("Lines that the reader of the output does not take are counted in the log itself")
{
    const auto previous = spdlog::default_logger();
    const uint64_t before = missingLogLines().notTaken;
    std::string text;
    {
        CapturedOutput output;
        setUpDecisionLog("test");
        for (int i = 0; i < 2000; ++i)
            spdlog::warn("event=filler text=\"{}\"", std::string(200, 'x'));
        output.read();
        spdlog::warn("event=after");
        text = output.read();
    }
    spdlog::set_default_logger(previous);
    const uint64_t lost = missingLogLines().notTaken - before;
    CHECK(lost > 0);
    CHECK(text.find("event=log_lines_not_taken count=" + std::to_string(lost)) !=
          std::string::npos);
    CHECK(text.find("event=after") != std::string::npos);
}
