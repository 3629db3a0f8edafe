// Finds the boundaries and ids of server-sent events.
#include "gateway/EventSplitter.h"

namespace tray {

namespace {

constexpr std::string_view IdField = "id:";

/// Returns the position after the last blank line that ends after the given position; 0 if there is
/// none. A blank line ends an event.
size_t findLastEventEnd(std::string_view bytes, size_t from)
{
    for (size_t end = bytes.size(); end > from; --end) {
        if (bytes[end - 1] != '\n')
            continue;
        const auto before = bytes.substr(0, end - 1);
        if (before.ends_with('\n') || before.ends_with("\n\r"))
            return end;
    }
    return 0;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    // The buffered bytes contain no event boundary, so only the new bytes are searched.
    const size_t known = this->incompleteEvent.size();
    this->incompleteEvent += bytes;
    const size_t end = findLastEventEnd(this->incompleteEvent, known);
    if (end == 0)
        return {};
    std::string whole = this->incompleteEvent.substr(0, end);
    this->incompleteEvent.erase(0, end);
    this->recordEventIds(whole);
    return whole;
}

void EventSplitter::recordEventIds(std::string_view events)
{
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        events = end == std::string_view::npos ? "" : events.substr(end + 1);
        if (!line.starts_with(IdField))
            continue;
        line.remove_prefix(IdField.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        while (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        this->eventId = std::string(line);
    }
}

} // namespace tray
