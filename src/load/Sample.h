// Outcome of one request of a load run.
#pragma once

#include "base/ErrorKind.h"
#include "base/Time.h"

#include <optional>
#include <string>

namespace tray {

/// Times are offsets from the start of the run.
struct Sample
{
    std::string flow;
    /// Time at which the arrival process scheduled the request.
    Duration intended{};
    Duration sent{};
    Duration done{};
    /// Time of the first token of a stream; nothing if no token was received.
    std::optional<Duration> firstToken;
    /// The answer was complete and successful.
    bool answered = false;
    /// Error code of a failed request.
    std::string errorCode;
    /// Whether a failed request was executed.
    Ran ran = Ran::Unknown;
    uint32_t retries = 0;
    /// Upstream that is named in the answer; empty if there is none.
    std::string upstream;
};

} // namespace tray
