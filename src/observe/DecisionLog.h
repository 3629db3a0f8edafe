// Structured log of decisions on standard output: bounded per second, and never blocking.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <string>

namespace tray {

/// Lines of importance for an explanation are the last to be left out.
enum class LogWeight : uint8_t {
    /// One of many similar decisions that went well.
    Routine,
    /// A failure, or a change of what the process believes.
    Notable,
};

/// Decides which lines are written. A second has a budget of lines; routine lines may use only a
/// part of it.
class LogBudget
{
public:
    static constexpr uint32_t LinesPerSecond = 400;
    static constexpr uint32_t RoutineLinesPerSecond = 200;

    /// True if a line may be written now.
    bool take(LogWeight weight, Instant now);
    /// Lines left out since the last call.
    uint64_t takeDropped();

private:
    Instant secondBegan{};
    uint32_t written = 0;
    uint32_t routineWritten = 0;
    uint64_t dropped = 0;
};

/// Sends all log lines of the process to standard output without ever waiting for the reader, and
/// names the process in each.
void setUpDecisionLog(const std::string &instance);

/// Writes one line of key=value pairs within the budget.
void logDecision(LogWeight weight, Instant now, const std::string &line);

} // namespace tray
