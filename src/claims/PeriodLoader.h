// Order of reading sealed periods during a takeover.
#pragma once

#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace tray {

/// Hands out the periods to read, a few at once, and gives them back in the order of their commits.
class PeriodLoader
{
public:
    struct Loaded
    {
        uint64_t period = 0;
        proto::ClaimPeriod content;
        uint64_t objectVersion = 0;
    };

    /// Starts afresh with the periods to read, oldest first.
    void start(std::deque<uint64_t> periods);
    /// Next period to read while fewer than the limit are on their way.
    std::optional<uint64_t> nextToRead(size_t limit);
    /// A period has been read.
    void put(Loaded loaded);
    /// Next period in order, once it has been read.
    std::optional<Loaded> takeNext();
    /// All periods were taken.
    bool isDone() const { return this->toTake.empty(); }

private:
    // Invariant: toRead is the tail of toTake; arrived holds periods of toTake only.
    std::deque<uint64_t> toRead;
    std::deque<uint64_t> toTake;
    std::map<uint64_t, Loaded> arrived;
    size_t onTheirWay = 0;
};

} // namespace tray
