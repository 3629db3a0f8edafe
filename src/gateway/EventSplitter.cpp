// Finds the ends of server-sent events.
#include "gateway/EventSplitter.h"

namespace tray {

namespace {

constexpr std::string_view IdField = "id:";

/// Position after the last blank line that ends at or after a position; 0 if there is none. A blank
/// line ends an event.
size_t endOfEvents(std::string_view bytes, size_t from)
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
    // What was kept has no end of an event, so that only the new bytes are looked at.
    const size_t known = this->rest.size();
    this->rest += bytes;
    const size_t end = endOfEvents(this->rest, known);
    if (end == 0)
        return {};
    std::string whole = this->rest.substr(0, end);
    this->rest.erase(0, end);
    this->noteIds(whole);
    return whole;
}

void EventSplitter::noteIds(std::string_view events)
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
        this->id = std::string(line);
    }
}

} // namespace tray
