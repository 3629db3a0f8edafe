// Outcome of one request of a load run.
#pragma once

#include "base/ErrorKind.h"
#include "base/Time.h"

#include <optional>
#include <string>

namespace tray {

/// All times are offsets from the start of the run.
struct Sample
{
    std::string flow;
    Duration intended{};
    Duration sent{};
    Duration done{};
    /// First token of a stream; nothing if none came.
    std::optional<Duration> firstToken;
    /// The answer was good and whole.
    bool answered = false;
    /// Error code of a failed request.
    std::string failure;
    Ran ran = Ran::Unknown;
    uint32_t repeats = 0;
    /// Upstream that the answer names; empty if it names none.
    std::string upstream;
};

} // namespace tray
