// Counts the attempts that may have been executed and describes the evidence.
#include "gateway/ExecutionLedger.h"

#include <algorithm>
#include <cassert>

namespace tray {

void ExecutionLedger::beginAttempt(const std::string &upstreamId)
{
    this->attempts.push_back({upstreamId, NotExecutedEvidence::None, ""});
}

void ExecutionLedger::endAttempt(NotExecutedEvidence evidence, std::string source)
{
    assert(!this->attempts.empty());
    this->attempts.back().evidence = evidence;
    this->attempts.back().source = std::move(source);
}

int ExecutionLedger::possibleExecutions() const
{
    return static_cast<int>(
        std::count_if(this->attempts.begin(), this->attempts.end(), [](const Attempt &attempt) {
            return attempt.evidence == NotExecutedEvidence::None;
        }));
}

std::string ExecutionLedger::describe() const
{
    if (this->attempts.empty())
        return "never_attempted";
    std::string text;
    for (const auto &attempt : this->attempts) {
        text += text.empty() ? "" : ",";
        text += attempt.upstreamId + ":" + std::string(enumName(attempt.evidence));
        if (!attempt.source.empty())
            text += "/" + attempt.source;
    }
    return text;
}

} // namespace tray
