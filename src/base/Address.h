// Network addresses as settings and messages write them: IP number and port.
#pragma once

#include "base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tray {

/// IP number (v4, or v6 without brackets) and port.
struct Address
{
    std::string host;
    uint16_t port = 0;

    bool operator==(const Address &) const = default;
};

/// Parses "127.0.0.1:80" or "[::1]:80". Names are refused: processes talk by IP number.
Result<Address> parseAddress(std::string_view text);

/// Text form that parseAddress reads.
std::string toString(const Address &address);

} // namespace tray
