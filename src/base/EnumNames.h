// Names of enumerators, shared by logs, metrics, settings and the command line.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace tray {

/// One row of a name table.
template <typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

/// Specialised next to each enum, with a constexpr member Table of EnumName rows.
template <typename Enum>
struct EnumNames;

/// Returns the name of an enumerator; "?" for a value that is not in the table.
template <typename Enum>
constexpr std::string_view enumName(Enum value)
{
    for (const auto &row : EnumNames<Enum>::Table) {
        if (row.value == value)
            return row.name;
    }
    return "?";
}

/// Returns the enumerator with the given name, if there is one.
template <typename Enum>
constexpr std::optional<Enum> enumFromName(std::string_view name)
{
    for (const auto &row : EnumNames<Enum>::Table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace tray
