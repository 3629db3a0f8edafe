// Splits JSON documents that the parser rejects as a whole.
#include "net/JsonParts.h"

#include "net/JsonSplitter.h"

#include <boost/json/parse.hpp>
#include <optional>

namespace tray {

namespace json = boost::json;

namespace {

// Depth up to which a document is split into parts: a list, its entries, their sections and fields.
constexpr int MaxSplitDepth = 5;

std::optional<json::value> parseWhole(std::string_view text)
{
    boost::system::error_code failure;
    auto parsed = json::parse(text, failure);
    return failure ? std::nullopt : std::optional(std::move(parsed));
}

std::optional<json::value> parseParts(std::string_view text, int depth);

/// Parses a part, or replaces it by null.
json::value parsePart(std::string_view text, int depth)
{
    auto parsed = parseParts(text, depth);
    return parsed ? std::move(*parsed) : json::value(nullptr);
}

std::optional<json::array> parseElements(JsonSplitter &splitter, int depth)
{
    json::array elements;
    if (splitter.skip(']'))
        return elements;
    while (true) {
        const auto part = splitter.takePart(',');
        if (!part)
            return std::nullopt;
        elements.push_back(parsePart(*part, depth));
        if (splitter.skip(']'))
            return elements;
        if (!splitter.skip(','))
            return std::nullopt;
    }
}

std::optional<json::object> parseMembers(JsonSplitter &splitter, int depth)
{
    json::object members;
    if (splitter.skip('}'))
        return members;
    while (true) {
        const auto name = splitter.takePart(':');
        if (!name || !splitter.skip(':'))
            return std::nullopt;
        const auto part = splitter.takePart(',');
        if (!part)
            return std::nullopt;
        const auto key = parseWhole(*name);
        if (key && key->is_string())
            members[key->get_string()] = parsePart(*part, depth);
        if (splitter.skip('}'))
            return members;
        if (!splitter.skip(','))
            return std::nullopt;
    }
}

std::optional<json::value> parseParts(std::string_view text, int depth)
{
    if (auto whole = parseWhole(text))
        return whole;
    if (depth == 0)
        return std::nullopt;
    JsonSplitter splitter(text);
    if (splitter.skip('[')) {
        auto elements = parseElements(splitter, depth - 1);
        return elements && splitter.isAtEnd() ? std::optional<json::value>(std::move(*elements))
                                              : std::nullopt;
    }
    if (splitter.skip('{')) {
        auto members = parseMembers(splitter, depth - 1);
        return members && splitter.isAtEnd() ? std::optional<json::value>(std::move(*members))
                                             : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

Result<json::value> parseJsonParts(std::string_view text)
{
    auto parsed = parseParts(text, MaxSplitDepth);
    if (!parsed)
        return Error{ErrorKind::BadRequest, "not valid JSON, not even in parts"};
    return std::move(*parsed);
}

} // namespace tray
