// Classes of ASCII characters.
#pragma once

namespace tray {

/// Returns whether a byte is a control character, such as a line break.
constexpr bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
}

} // namespace tray
