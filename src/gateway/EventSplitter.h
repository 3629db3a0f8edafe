// Splits a byte stream of server-sent events at event boundaries, so that a caller never receives
// part of an event when the upstream fails or the stream resumes at another upstream.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tray {

/// Buffers the bytes of the incomplete event at the end of a stream.
class EventSplitter
{
public:
    /// Maximum size of an incomplete event, in bytes: thousands of times the size of a usual event.
    static constexpr size_t MaxEventBytes = 1u << 20;

    /// Appends bytes of the stream. Returns the complete events that are now available; the result
    /// may be empty, and is so if the events are out of sequence.
    std::string feed(std::string_view bytes);
    /// Returns whether there are bytes after the last complete event. A stream that ends there has
    /// been broken off.
    bool hasIncompleteEvent() const { return !this->incompleteEvent.empty(); }
    /// Discards the incomplete event. From here on, the stream of another upstream is fed, whose
    /// events must come after those of the stream before.
    void beginNextRun();
    /// Returns whether the present run has had a complete event.
    bool hasEvents() const { return this->eventsOfRun > 0; }
    /// Returns whether another run can continue the stream: nothing was passed on yet, or the last
    /// event has an id.
    bool canContinue() const { return !this->hasPassedEvents || this->eventId.has_value(); }
    /// Returns whether an event of the present run has an id that an earlier run has passed on, or
    /// none to tell by.
    bool isOutOfSequence() const { return this->outOfSequence; }
    /// Returns whether the incomplete event exceeds the maximum size.
    bool isEventTooLarge() const { return this->incompleteEvent.size() > MaxEventBytes; }
    /// Returns the most recent id of the complete events; empty if none of them had an id.
    const std::optional<std::string> &lastEventId() const { return this->eventId; }

private:
    void recordEvents(std::string_view events);
    void recordEvent(const std::optional<std::string> &id);

    std::string incompleteEvent;
    std::optional<std::string> eventId;
    // Id of the last event of the earlier runs, if there are any that have passed events on.
    std::optional<std::string> continuesAfter;
    size_t eventsOfRun = 0;
    bool hasPassedEvents = false;
    bool outOfSequence = false;
};

} // namespace tray
