// Histogram with logarithmic steps.
#include "gateway/EventGaps.h"

#include <algorithm>
#include <cmath>

namespace tray {

namespace {

constexpr double StepsPerDoubling = 4;

} // namespace

void EventGaps::add(Duration gap)
{
    this->longestGap = std::max(this->longestGap, gap);
    const double ms = std::chrono::duration<double, std::milli>(gap).count();
    const double step = StepsPerDoubling * std::log2(std::max(ms, 1.0));
    const auto last = static_cast<double>(this->counts.size() - 1);
    ++this->counts.at(static_cast<size_t>(std::min(step, last)));
    ++this->count;
}

std::optional<Duration> EventGaps::median() const
{
    if (this->count < MinGaps)
        return std::nullopt;
    uint32_t seen = 0;
    size_t step = 0;
    while (seen + this->counts.at(step) <= this->count / 2)
        seen += this->counts.at(step++);
    const double ms = std::exp2((static_cast<double>(step) + 0.5) / StepsPerDoubling);
    // The middle of the step may be longer than all gaps.
    return std::min(
        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)),
        this->longestGap);
}

} // namespace tray
