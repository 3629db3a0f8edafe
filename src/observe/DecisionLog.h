// Structured log of decisions on standard output. The number of lines per second is limited, and
// writing never blocks.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <string>

namespace tray {

/// Priority of a log line. Lines that are needed to explain a decision are the last to be dropped.
enum class LogPriority : uint8_t {
    /// One of many similar decisions that succeeded.
    Routine,
    /// A failure, or a change in what the process knows about the system.
    Notable,
};

/// Decides which log lines are written. Each second has a budget of lines, of which routine lines
/// may use only a part.
class LogBudget
{
public:
    static constexpr uint32_t LinesPerSecond = 400;
    static constexpr uint32_t RoutineLinesPerSecond = 200;

    /// Returns whether a line may be written now. If so, it is counted against the budget;
    /// otherwise it is counted as dropped.
    bool tryConsume(LogPriority priority, Instant now);
    /// Returns the number of lines dropped since the last call.
    uint64_t takeDropped();

private:
    Instant secondStartedAt{};
    uint32_t written = 0;
    uint32_t routineWritten = 0;
    uint64_t dropped = 0;
};

/// Sends all log lines of the process to standard output without ever waiting for the reader. Each
/// line contains the name of the process.
void setUpDecisionLog(const std::string &instance);

/// Writes one line of key=value pairs if the budget allows it.
void logDecision(LogPriority priority, Instant now, const std::string &line);

} // namespace tray
