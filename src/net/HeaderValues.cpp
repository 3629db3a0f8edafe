// Parsers of header values.
#include "net/HeaderValues.h"

#include <cmath>

namespace tray {

namespace {

std::string_view trimSpaces(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}

} // namespace

size_t countHeaders(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [&](const auto &header) { return equalsIgnoringCase(header.first, name); }));
}

bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (equalsIgnoringCase(trimSpaces(list.substr(0, comma)), name))
            return true;
        list = comma == std::string_view::npos ? "" : list.substr(comma + 1);
    }
    return false;
}

std::vector<std::string_view> splitList(std::string_view list)
{
    std::vector<std::string_view> items;
    while (true) {
        const auto comma = list.find(',');
        items.push_back(trimSpaces(list.substr(0, comma)));
        if (comma == std::string_view::npos)
            return items;
        list = list.substr(comma + 1);
    }
}

std::optional<std::vector<uint32_t>> parseNumberList(std::string_view text)
{
    std::vector<uint32_t> numbers;
    while (true) {
        const auto comma = text.find(',');
        const auto number = parseNumber<uint32_t>(text.substr(0, comma));
        if (!number)
            return std::nullopt;
        numbers.push_back(*number);
        if (comma == std::string_view::npos)
            return numbers;
        text = text.substr(comma + 1);
    }
}

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc{} || end != text.data() + text.size() || !std::isfinite(number) ||
        number < 0)
        return std::nullopt;
    return number;
}

std::optional<double> numberAt(std::string_view list, size_t position)
{
    for (; position > 0; --position) {
        const size_t comma = list.find(',');
        if (comma == std::string_view::npos)
            return std::nullopt;
        list.remove_prefix(comma + 1);
    }
    std::string_view item = list.substr(0, list.find(','));
    item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
    double number = 0;
    const auto parsed = std::from_chars(item.data(), item.data() + item.size(), number);
    return parsed.ec == std::errc{} ? std::optional(number) : std::nullopt;
}

} // namespace tray
