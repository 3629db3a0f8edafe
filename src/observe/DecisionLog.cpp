// Rate limit of log lines and their non-blocking output.
#include "observe/DecisionLog.h"

#include <mutex>
#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace tray {

namespace {

constexpr Duration Second = std::chrono::seconds(1);
// A pipe that is ready for writing accepts at least this many bytes without blocking.
constexpr size_t MaxNonBlockingBytes = 4096;

/// Writes lines to standard output. A line that cannot be written without blocking is dropped and
/// counted.
class StandardOutputSink : public spdlog::sinks::base_sink<std::mutex>
{
protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        if (line.size() > MaxNonBlockingBytes || ::poll(&output, 1, 0) <= 0 ||
            ::write(STDOUT_FILENO, line.data(), line.size()) < 0)
            ++this->droppedLines;
    }

    void flush_() override {}

private:
    uint64_t droppedLines = 0;
};

LogBudget &processBudget()
{
    static LogBudget budget;
    return budget;
}

} // namespace

bool LogBudget::tryConsume(LogPriority priority, Instant now)
{
    if (now >= this->secondStartedAt + Second) {
        this->secondStartedAt = now;
        this->written = 0;
        this->routineWritten = 0;
    }
    const bool routine = priority == LogPriority::Routine;
    if (this->written >= LinesPerSecond ||
        (routine && this->routineWritten >= RoutineLinesPerSecond)) {
        ++this->dropped;
        return false;
    }
    ++this->written;
    this->routineWritten += routine ? 1 : 0;
    return true;
}

uint64_t LogBudget::takeDropped()
{
    return std::exchange(this->dropped, 0);
}

void setUpDecisionLog(const std::string &instance)
{
    auto logger =
        std::make_shared<spdlog::logger>(instance, std::make_shared<StandardOutputSink>());
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=%n %v",
                        spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(std::move(logger));
}

void logDecision(LogPriority priority, Instant now, const std::string &line)
{
    auto &budget = processBudget();
    if (!budget.tryConsume(priority, now))
        return;
    if (const auto dropped = budget.takeDropped(); dropped > 0)
        spdlog::warn("event=log_lines_left_out count={}", dropped);
    if (priority == LogPriority::Notable)
        spdlog::warn("{}", line);
    else
        spdlog::info("{}", line);
}

} // namespace tray
