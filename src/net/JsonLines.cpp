// Follows JSON pointers in the text, since parsed values do not know where they stood.
#include "net/JsonLines.h"

#include "net/JsonSplitter.h"

#include <algorithm>
#include <boost/json/stream_parser.hpp>
#include <charconv>

namespace tray {

namespace {

size_t lineAt(std::string_view text, size_t offset)
{
    const auto before = text.substr(0, offset);
    return 1 + static_cast<size_t>(std::count(before.begin(), before.end(), '\n'));
}

std::string_view trimFront(std::string_view text)
{
    const auto start = text.find_first_not_of(" \t\r\n");
    return text.substr(std::min(start, text.size()));
}

std::optional<std::string_view> findElement(JsonSplitter &splitter, std::string_view token)
{
    size_t wanted = 0;
    const auto [end, failure] = std::from_chars(token.data(), token.data() + token.size(), wanted);
    if (failure != std::errc() || end != token.data() + token.size())
        return std::nullopt;
    for (size_t i = 0;; ++i) {
        const auto element = splitter.takePart(',');
        if (!element || i == wanted)
            return element && !trimFront(*element).empty() ? element : std::nullopt;
        if (!splitter.skip(','))
            return std::nullopt;
    }
}

std::optional<std::string_view> findMember(JsonSplitter &splitter, std::string_view token)
{
    std::optional<std::string_view> found;
    while (true) {
        const auto name = splitter.takePart(':');
        if (!name || !splitter.skip(':'))
            return found;
        const auto member = splitter.takePart(',');
        if (!member)
            return found;
        const auto quoted = trimFront(*name);
        if (quoted.starts_with('"') && quoted.substr(1, token.size()) == token &&
            quoted.substr(1 + token.size()).starts_with('"'))
            found = member;
        if (!splitter.skip(','))
            return found;
    }
}

} // namespace

size_t findJsonLine(std::string_view text, std::string_view pointer)
{
    std::string_view part = trimFront(text);
    while (!pointer.empty()) {
        pointer.remove_prefix(1);
        const auto token = pointer.substr(0, pointer.find('/'));
        pointer.remove_prefix(token.size());
        JsonSplitter splitter(part);
        const auto next = splitter.skip('[')   ? findElement(splitter, token)
                          : splitter.skip('{') ? findMember(splitter, token)
                                               : std::nullopt;
        if (!next)
            break;
        part = trimFront(*next);
    }
    return lineAt(text, static_cast<size_t>(part.data() - text.data()));
}

std::optional<size_t> findJsonErrorLine(std::string_view text)
{
    boost::json::stream_parser parser;
    boost::system::error_code failure;
    const size_t parsed = parser.write_some(text.data(), text.size(), failure);
    if (!failure && parsed == text.size()) {
        parser.finish(failure);
        if (!failure)
            return std::nullopt;
    }
    return lineAt(text, parsed);
}

} // namespace tray
