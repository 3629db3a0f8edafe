// Texts from outside in the key=value pairs of a log line.
#pragma once

#include <algorithm>
#include <fmt/format.h>
#include <string_view>

namespace tray {

/// A text that is written as it is if it is a plain word, otherwise in quotes with escapes, so that
/// it cannot be taken for other pairs.
struct LogText
{
    std::string_view text;

    bool isPlain() const
    {
        return std::all_of(this->text.begin(), this->text.end(), [](char c) {
            return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
        });
    }
};

} // namespace tray

template <>
struct fmt::formatter<tray::LogText> : fmt::formatter<std::string_view>
{
    template <typename Context>
    auto format(const tray::LogText &value, Context &context) const
    {
        return value.isPlain() ? fmt::format_to(context.out(), "{}", value.text)
                               : fmt::format_to(context.out(), "{:?}", value.text);
    }
};
