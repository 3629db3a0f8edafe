// Event ring and hybrid logical clock.
#include "observe/EventRing.h"

#include <algorithm>

namespace tray {

uint64_t HybridClock::tick(WallMs now)
{
    const std::lock_guard lock(this->mutex);
    this->last = std::max(this->last + 1, now << 16);
    return this->last;
}

void HybridClock::merge(uint64_t stamp, WallMs now)
{
    // A stamp from a clock far ahead is ignored, so that one wrong clock does not shift all others.
    constexpr WallMs MaxSkewMs = 60000;
    const std::lock_guard lock(this->mutex);
    if ((stamp >> 16) <= now + MaxSkewMs)
        this->last = std::max(this->last, stamp);
}

void EventRing::add(WallMs now, std::string kind, std::string subject, std::string text)
{
    const uint64_t stamp = this->hybridClock.tick(now);
    const std::lock_guard lock(this->mutex);
    this->events.push_back(
        {stamp, this->nextPosition++, std::move(kind), std::move(subject), std::move(text)});
    if (this->events.size() > this->capacity)
        this->events.pop_front();
}

std::vector<Event> EventRing::after(uint64_t position, size_t limit) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Event> found;
    for (const auto &event : this->events) {
        if (event.position > position && found.size() < limit)
            found.push_back(event);
    }
    return found;
}

} // namespace tray
