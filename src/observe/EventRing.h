// Bounded buffer of events with hybrid logical clock timestamps, which `trayctl timeline` collects.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace tray {

/// Hybrid logical clock: wall-clock ms shifted left by 16 bits, plus a counter that keeps causal
/// order.
class HybridClock
{
public:
    /// Advances the clock and returns the timestamp of a local event or a sent message.
    uint64_t tick(WallMs now);
    /// Merges the timestamp of a received message.
    void merge(uint64_t timestamp, WallMs now);

private:
    std::mutex mutex;
    uint64_t last = 0;
};

/// One event of the timeline.
struct Event
{
    uint64_t clock = 0;
    /// Sequence number within this buffer, incremented by one per event.
    uint64_t position = 0;
    std::string kind;
    /// Id of the request, ticket or upstream that the event concerns. It relates the events of
    /// several processes to each other.
    std::string subject;
    std::string text;
};

/// Keeps the newest events of one process. Safe to use from any thread.
class EventRing
{
public:
    explicit EventRing(size_t capacity = 4096) : capacity(capacity) {}

    HybridClock &clock() { return this->hybridClock; }
    void add(WallMs now, std::string kind, std::string subject, std::string text);
    /// Returns events with a position above the given one, oldest first, at most limit of them.
    std::vector<Event> after(uint64_t position, size_t limit) const;

private:
    HybridClock hybridClock;
    const size_t capacity;
    mutable std::mutex mutex;
    // Invariant: positions are consecutive and the deque holds at most capacity events.
    std::deque<Event> events;
    uint64_t nextPosition = 1;
};

} // namespace tray
