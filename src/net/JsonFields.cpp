// Typed access to the fields of JSON objects.
#include "net/JsonFields.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <cmath>
#include <limits>

namespace tray {

namespace json = boost::json;

const json::value *findField(const json::value &object, std::string_view name)
{
    const auto *fields = object.if_object();
    return fields == nullptr ? nullptr : fields->if_contains(name);
}

std::optional<std::string> stringField(const json::value &object, std::string_view name)
{
    const auto *found = findField(object, name);
    if (found == nullptr || !found->is_string())
        return std::nullopt;
    return std::string(found->get_string());
}

std::optional<double> numberField(const json::value &object, std::string_view name)
{
    const auto *found = findField(object, name);
    if (found == nullptr || !found->is_number())
        return std::nullopt;
    const double number = found->is_double()  ? found->get_double()
                          : found->is_int64() ? static_cast<double>(found->get_int64())
                                              : static_cast<double>(found->get_uint64());
    return std::isfinite(number) ? std::optional(number) : std::nullopt;
}

std::optional<uint64_t> unsignedField(const json::value &object, std::string_view name)
{
    const auto *found = findField(object, name);
    if (found == nullptr)
        return std::nullopt;
    if (found->is_uint64())
        return found->get_uint64();
    if (found->is_int64() && found->get_int64() >= 0)
        return static_cast<uint64_t>(found->get_int64());
    return std::nullopt;
}

std::optional<bool> boolField(const json::value &object, std::string_view name)
{
    const auto *found = findField(object, name);
    if (found == nullptr || !found->is_bool())
        return std::nullopt;
    return found->get_bool();
}

const json::array *arrayField(const json::value &object, std::string_view name)
{
    const auto *found = findField(object, name);
    return found == nullptr ? nullptr : found->if_array();
}

Duration durationFromMs(double ms)
{
    // One day: longer than every timeout of the system and far within the range of the clock.
    constexpr double MaxDurationMs = 86400000.0;
    return std::chrono::microseconds(std::llround(std::clamp(ms, 0.0, MaxDurationMs) * 1000.0));
}

Duration durationFromSeconds(double seconds)
{
    return durationFromMs(seconds * 1000.0);
}

std::optional<uint32_t> uint32Field(const json::value &object, std::string_view name)
{
    const auto number = unsignedField(object, name);
    return number && *number <= std::numeric_limits<uint32_t>::max()
               ? std::optional(static_cast<uint32_t>(*number))
               : std::nullopt;
}

uint32_t clampedUint32Field(const json::value &object, std::string_view name, uint32_t absent)
{
    constexpr double Max = std::numeric_limits<uint32_t>::max();
    return static_cast<uint32_t>(std::clamp(numberField(object, name).value_or(absent), 0.0, Max));
}

Result<json::value> parseJson(std::string_view text)
{
    boost::system::error_code code;
    auto parsed = json::parse(text, code);
    if (code)
        return Error{ErrorKind::BadRequest, "not valid JSON: " + code.message()};
    return parsed;
}

} // namespace tray
