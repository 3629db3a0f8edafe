// Gaps between the events of one stream.
#pragma once

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace tray {

/// Counts gaps by length, so that the median of a stream of any length takes constant memory.
class EventGaps
{
public:
    /// Fewest gaps that have a meaningful median.
    static constexpr uint32_t MinGaps = 4;

    void add(Duration gap);
    uint32_t size() const { return this->count; }
    /// Median gap, accurate to 10 %; not set below the fewest gaps.
    std::optional<Duration> median() const;
    /// Longest gap; zero without any.
    Duration longest() const { return this->longestGap; }

private:
    // Gaps up to 4 s in steps of 2^(1/4) from 1 ms; the first and last counter also take the gaps
    // beyond.
    std::array<uint32_t, 48> counts{};
    uint32_t count = 0;
    Duration longestGap{};
};

} // namespace tray
