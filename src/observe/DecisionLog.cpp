// Rate limit of log lines and their non-blocking output.
#include "observe/DecisionLog.h"

#include "base/Ascii.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
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
// Bytes of a line that the time, the level and the name of the process may take.
constexpr size_t MaxPrefixBytes = 200;
constexpr size_t MaxLineBytes = MaxNonBlockingBytes - MaxPrefixBytes;
constexpr std::string_view CutOffMark = "...";

std::atomic<uint64_t> linesOverBudget{0};
std::atomic<uint64_t> linesNotTaken{0};

/// Writes lines to standard output. A line that cannot be written without blocking is dropped and
/// counted; the next line that is written tells how many.
class StandardOutputSink : public spdlog::sinks::base_sink<std::mutex>
{
protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        if (this->unreported > 0) {
            const auto text = "event=log_lines_not_taken count=" + std::to_string(this->unreported);
            if (this->write({message.logger_name, spdlog::level::warn, text}))
                this->unreported = 0;
        }
        // Texts from outside must not look like further lines.
        const std::string_view payload(message.payload.data(), message.payload.size());
        spdlog::details::log_msg line = message;
        std::string escaped;
        if (std::any_of(payload.begin(), payload.end(), isControl)) {
            escaped = truncateLogLine(escapeControls(payload), MaxLineBytes);
            line.payload = escaped;
        }
        if (!this->write(line)) {
            ++this->unreported;
            ++linesNotTaken;
        }
    }

    void flush_() override {}

private:
    bool write(const spdlog::details::log_msg &message)
    {
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        return line.size() <= MaxNonBlockingBytes && ::poll(&output, 1, 0) > 0 &&
               ::write(STDOUT_FILENO, line.data(), line.size()) >= 0;
    }

    // Dropped lines that no line in the log tells of.
    uint64_t unreported = 0;
};

static_assert(LogBudget::RoutineLinesPerSecond < LogBudget::NotableLinesPerSecond &&
              LogBudget::NotableLinesPerSecond < LogBudget::LinesPerSecond);

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
        this->written = {};
    }
    // Each limit holds for the lines of its priority and of those below it together.
    constexpr std::array<uint32_t, 3> Limits{RoutineLinesPerSecond, NotableLinesPerSecond,
                                             LinesPerSecond};
    const auto own = static_cast<size_t>(priority);
    uint32_t sum = 0;
    for (size_t i = 0; i < Limits.size(); ++i) {
        sum += this->written[i];
        if (i >= own && sum >= Limits[i]) {
            ++this->dropped;
            return false;
        }
    }
    ++this->written[own];
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
    if (!budget.tryConsume(priority, now)) {
        ++linesOverBudget;
        return;
    }
    if (const auto dropped = budget.takeDropped(); dropped > 0)
        spdlog::warn("event=log_lines_left_out count={}", dropped);
    const std::string text = truncateLogLine(line, MaxLineBytes);
    if (priority == LogPriority::Routine)
        spdlog::info("{}", text);
    else
        spdlog::warn("{}", text);
}

std::string escapeControls(std::string_view line)
{
    std::string escaped;
    for (const char c : line) {
        if (isControl(c))
            escaped += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        else
            escaped += c;
    }
    return escaped;
}

std::string truncateLogLine(std::string line, size_t maxBytes)
{
    if (line.size() > maxBytes)
        line.replace(maxBytes - CutOffMark.size(), std::string::npos, CutOffMark);
    return line;
}

MissingLogLines missingLogLines()
{
    return {linesOverBudget, linesNotTaken};
}

} // namespace tray
