// Hybrid logical clock arithmetic and the bounded event buffer.
#include "observe/EventRing.h"

#include <algorithm>

namespace tray {

uint64_t HybridClock::tick(WallMs now)
{
    const std::lock_guard lock(this->mutex);
    this->last = std::max(this->last + 1, now << 16);
    return this->last;
}

void HybridClock::merge(uint64_t timestamp, WallMs now)
{
    // A timestamp that is too far ahead is ignored, so that one wrong clock does not shift all
    // others.
    constexpr WallMs MaxSkewMs = 60000;
    const std::lock_guard lock(this->mutex);
    if ((timestamp >> 16) <= now + MaxSkewMs)
        this->last = std::max(this->last, timestamp);
}

void EventRing::add(WallMs now, std::string kind, std::string subject, std::string text)
{
    const uint64_t timestamp = this->hybridClock.tick(now);
    const std::lock_guard lock(this->mutex);
    this->events.push_back(
        {timestamp, this->nextPosition++, std::move(kind), std::move(subject), std::move(text)});
    if (this->events.size() > this->capacity)
        this->events.pop_front();
}

std::vector<Event> EventRing::after(uint64_t position, size_t limit) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Event> result;
    for (const auto &event : this->events) {
        if (event.position > position && result.size() < limit)
            result.push_back(event);
    }
    return result;
}

} // namespace tray
