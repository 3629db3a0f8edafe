// Finds the boundaries and ids of server-sent events.
#include "gateway/EventSplitter.h"

#include "net/HttpMessage.h"

#include <charconv>
#include <cstdint>

namespace tray {

namespace {

constexpr std::string_view IdField = "id:";
constexpr std::string_view DataField = "data:";

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Returns whether an event can come after another one by their ids. The order of ids that are not
/// numbers is not known.
bool isAfter(std::string_view id, std::string_view earlier)
{
    const auto number = parseNumber(id);
    const auto earlierNumber = parseNumber(earlier);
    return number && earlierNumber ? *number > *earlierNumber : id != earlier;
}

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
    const auto lastPassed = this->eventId;
    this->recordEvents(whole);
    if (this->outOfSequence) {
        this->eventId = lastPassed;
        return {};
    }
    this->hasPassedEvents = this->hasPassedEvents || this->hasEvents();
    return whole;
}

void EventSplitter::beginNextRun()
{
    this->incompleteEvent.clear();
    this->continuesAfter = this->eventId;
    this->eventsOfRun = 0;
    this->outOfSequence = false;
}

void EventSplitter::recordEvents(std::string_view events)
{
    // A block without data, such as a comment, is no event.
    bool hasData = false;
    std::optional<std::string> id;
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        events = end == std::string_view::npos ? "" : events.substr(end + 1);
        while (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.empty()) {
            if (hasData || id)
                this->recordEvent(id);
            hasData = false;
            id.reset();
            continue;
        }
        hasData = hasData || line.starts_with(DataField);
        if (!line.starts_with(IdField))
            continue;
        line.remove_prefix(IdField.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        id = std::string(line);
    }
}

void EventSplitter::recordEvent(const std::optional<std::string> &id)
{
    if (this->continuesAfter && (!id || !isAfter(*id, *this->continuesAfter)))
        this->outOfSequence = true;
    ++this->eventsOfRun;
    // An id that no header can name cannot be continued from, and neither can an earlier one.
    if (id && isHeaderValue(*id))
        this->eventId = id;
    else if (id)
        this->eventId.reset();
}

} // namespace tray
