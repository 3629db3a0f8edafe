// Parses the values of HTTP headers: numbers and comma-separated lists.
#pragma once

#include "net/HttpMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace tray {

/// Returns the number of headers with a name, ignoring case.
size_t countHeaders(const HttpHeaders &headers, std::string_view name);

/// Checks whether names contain a name, ignoring case.
template <size_t Size>
bool containsName(const std::array<std::string_view, Size> &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [&](std::string_view candidate) {
        return equalsIgnoringCase(candidate, name);
    });
}

/// Checks whether a comma-separated list contains a name, ignoring case.
bool listContains(std::string_view list, std::string_view name);

/// Returns the items of a comma-separated list without the spaces around them. An empty text has
/// one empty item.
std::vector<std::string_view> splitList(std::string_view list);

/// Parses an integer; nullopt if it is not the whole text.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text, int base = 10)
{
    Number number{};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (code != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Parses non-negative integers separated by commas alone; nullopt if the text has another form.
std::optional<std::vector<uint32_t>> parseNumberList(std::string_view text);

/// Parses a finite decimal number that is not negative; nullopt if it is not the whole text.
std::optional<double> parseDecimal(std::string_view text);

/// Returns the number with which an item of a comma-separated list begins; nullopt if there is
/// none. Other items need not be numbers.
std::optional<double> numberAt(std::string_view list, size_t position);

} // namespace tray
