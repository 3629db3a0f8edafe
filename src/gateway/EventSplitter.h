// Splits a byte stream of server-sent events at event boundaries, so that a caller never receives
// part of an event when the upstream fails or the stream resumes at another upstream.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace tray {

/// Buffers the bytes of the incomplete event at the end of a stream.
class EventSplitter
{
public:
    /// Maximum size of an incomplete event, in bytes: thousands of times the size of a usual event.
    static constexpr size_t MaxEventBytes = 1u << 20;

    /// Appends bytes of the stream. Returns the complete events that are now available; the result
    /// may be empty.
    std::string feed(std::string_view bytes);
    /// Returns and clears the bytes after the last complete event. They belong to the body of a
    /// stream that ended normally.
    std::string takeIncompleteEvent() { return std::exchange(this->incompleteEvent, {}); }
    /// Discards the incomplete event, for example when the stream resumes at another upstream.
    void discardIncompleteEvent() { this->incompleteEvent.clear(); }
    /// Returns whether the incomplete event exceeds the maximum size.
    bool isEventTooLarge() const { return this->incompleteEvent.size() > MaxEventBytes; }
    /// Returns the most recent id of the complete events; empty if none of them had an id.
    const std::optional<std::string> &lastEventId() const { return this->eventId; }

private:
    void recordEventIds(std::string_view events);

    std::string incompleteEvent;
    std::optional<std::string> eventId;
};

} // namespace tray
