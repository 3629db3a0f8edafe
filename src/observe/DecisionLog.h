// Structured log of decisions on standard output. The number of lines per second is limited, and
// writing never blocks.
#pragma once

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace tray {

/// Priority of a log line. Lines that are needed to explain a decision are the last to be dropped.
enum class LogPriority : uint8_t {
    /// One of many similar decisions that succeeded.
    Routine,
    /// A failure, or a change in what the process knows about the system.
    Notable,
    /// A statement to a caller that the process must be able to account for, such as that a request
    /// was not executed.
    Essential,
};

/// Decides which log lines are written. Each second has a budget of lines, of which routine and
/// notable lines may use only a part.
class LogBudget
{
public:
    static constexpr uint32_t LinesPerSecond = 800;
    static constexpr uint32_t NotableLinesPerSecond = 400;
    static constexpr uint32_t RoutineLinesPerSecond = 200;

    /// Returns whether a line may be written now. If so, it is counted against the budget;
    /// otherwise it is counted as dropped.
    bool tryConsume(LogPriority priority, Instant now);
    /// Returns the number of lines dropped since the last call.
    uint64_t takeDropped();

private:
    Instant secondStartedAt{};
    // Lines written in this second, by priority.
    std::array<uint32_t, 3> written{};
    uint64_t dropped = 0;
};

/// Replaces control characters, such as line breaks, by escapes.
std::string escapeControls(std::string_view line);

/// Shortens a line to a number of bytes, with a mark at its end if anything was cut off.
std::string truncateLogLine(std::string line, size_t maxBytes);

/// Sends all log lines of the process to standard output without ever waiting for the reader. Each
/// line contains the name of the process.
void setUpDecisionLog(const std::string &instance);

/// Writes one line of key=value pairs if the budget allows it.
void logDecision(LogPriority priority, Instant now, const std::string &line);

/// Lines of this process that are missing from its log.
struct MissingLogLines
{
    /// Lines beyond the budget.
    uint64_t overBudget = 0;
    /// Lines that the reader of standard output did not take in time.
    uint64_t notTaken = 0;
};

MissingLogLines missingLogLines();

} // namespace tray
