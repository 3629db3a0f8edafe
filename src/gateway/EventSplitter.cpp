// Finds the ends of server-sent events.
#include "gateway/EventSplitter.h"

namespace tray {

namespace {

constexpr std::string_view IdField = "id:";

/// Position after the last blank line, which ends an event; 0 if there is none.
size_t endOfEvents(std::string_view bytes)
{
    const auto unixEnd = bytes.rfind("\n\n");
    const auto webEnd = bytes.rfind("\n\r\n");
    size_t end = 0;
    if (unixEnd != std::string_view::npos)
        end = unixEnd + 2;
    if (webEnd != std::string_view::npos && webEnd + 3 > end)
        end = webEnd + 3;
    return end;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    this->rest += bytes;
    const size_t end = endOfEvents(this->rest);
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
