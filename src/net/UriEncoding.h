// Percent-encoding of the components of URIs.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace tray {

/// Encodes a value for a path segment or a query: all bytes but the unreserved characters of RFC
/// 3986 are escaped.
std::string percentEncode(std::string_view text);
/// Encodes the segments of a path and keeps the slashes between them.
std::string percentEncodePath(std::string_view path);
/// Returns a path with a query. The path is taken as it is, the values are encoded.
std::string
withQuery(std::string path,
          std::initializer_list<std::pair<std::string_view, std::string_view>> parameters);
/// Returns the byte of the escape with which a text begins; nullopt if it does not begin with one.
std::optional<char> escapedByte(std::string_view text);
/// Decodes a component; nullopt if a percent sign is not followed by two hexadecimal digits. A plus
/// sign stands for itself.
std::optional<std::string> percentDecode(std::string_view text);

} // namespace tray
