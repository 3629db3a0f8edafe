// Reads fields of JSON objects without exceptions. The lookup of a field tells a missing field from
// a field of the wrong type; the typed accessors return nothing for both.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace tray {

/// Finds a field by its name; null if the value is not an object or has no such field.
const boost::json::value *findField(const boost::json::value &object, std::string_view name);

/// String in a field; nullopt if the field is missing or not a string.
std::optional<std::string> stringField(const boost::json::value &object, std::string_view name);
/// Number in a field; nullopt if the field is missing, not a number or not finite.
std::optional<double> numberField(const boost::json::value &object, std::string_view name);
/// Non-negative integer in a field; nullopt if the field is missing or holds anything else.
std::optional<uint64_t> unsignedField(const boost::json::value &object, std::string_view name);
/// Boolean in a field; nullopt if the field is missing or not a boolean.
std::optional<bool> boolField(const boost::json::value &object, std::string_view name);
/// Array in a field; null if the field is missing or not an array.
const boost::json::array *arrayField(const boost::json::value &object, std::string_view name);

/// Converts a number of milliseconds to a duration; clamped to the range from 0 to one day.
Duration durationFromMs(double ms);
/// Converts a number of seconds to a duration; clamped to the range from 0 to one day.
Duration durationFromSeconds(double seconds);

/// Non-negative integer of 32 bits in a field; nullopt if the field is missing or holds anything
/// else.
std::optional<uint32_t> uint32Field(const boost::json::value &object, std::string_view name);
/// Number in a field, rounded down and clamped to 32 bits without a sign; 0 if the field is missing
/// or not a number.
uint32_t clampedUint32Field(const boost::json::value &object, std::string_view name,
                            uint32_t absent = 0);

/// Parses a JSON document. Fails with BadRequest.
Result<boost::json::value> parseJson(std::string_view text);

} // namespace tray
