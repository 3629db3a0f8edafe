// Schedules the reads of sealed periods during a takeover.
#pragma once

#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace tray {

/// Returns the periods to read, with a limited number in flight, and delivers their contents in the
/// order of their commits.
class PeriodLoader
{
public:
    struct Loaded
    {
        uint64_t period = 0;
        proto::ClaimPeriod content;
        uint64_t objectVersion = 0;
    };

    /// Starts again with the given periods to read, oldest first.
    void start(std::deque<uint64_t> periods);
    /// Returns the next period to read if fewer reads than the limit are in flight.
    std::optional<uint64_t> nextToRead(size_t limit);
    /// Adds the content of a period that was read.
    void addLoaded(Loaded loaded);
    /// Takes the next period in order, if it has been read.
    std::optional<Loaded> takeNext();
    /// Whether all periods were taken.
    bool isDone() const { return this->notTaken.empty(); }

private:
    // Invariant: toRead is the tail of notTaken; loadedPeriods holds periods of notTaken only.
    std::deque<uint64_t> toRead;
    std::deque<uint64_t> notTaken;
    std::map<uint64_t, Loaded> loadedPeriods;
    size_t readsInFlight = 0;
};

} // namespace tray
