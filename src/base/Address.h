// Network addresses as they are written in settings and messages: IP address and port.
#pragma once

#include "base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tray {

/// IP address (v4, or v6 without brackets) and port.
struct Address
{
    std::string host;
    uint16_t port = 0;

    bool operator==(const Address &) const = default;
};

/// Parses "127.0.0.1:80" or "[::1]:80". Host names are rejected, because processes address each
/// other by IP address.
Result<Address> parseAddress(std::string_view text);

/// Returns the text form that parseAddress() accepts.
std::string toString(const Address &address);

} // namespace tray
