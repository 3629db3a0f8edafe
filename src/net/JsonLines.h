// Finds the lines of a JSON text on which a value or a syntax error stands.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace tray {

/// Returns the line, from 1, on which the value at a JSON pointer begins. If the text has no such
/// value, that is the line of the innermost value on the way to it. Names with escapes are not
/// supported in the pointer. The text must be valid JSON; of members with the same name the last
/// one counts, as for the parser.
size_t findJsonLine(std::string_view text, std::string_view pointer);

/// Returns the line, from 1, from which on a text is not valid JSON; nullopt if it is valid.
std::optional<size_t> findJsonErrorLine(std::string_view text);

} // namespace tray
