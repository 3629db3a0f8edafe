// Parsing and formatting of addresses. The C library validates the IP address.
#include "base/Address.h"

#include <arpa/inet.h>
#include <charconv>

namespace tray {

Result<Address> parseAddress(std::string_view text)
{
    const auto makeError = [&] {
        return Error{ErrorKind::InvalidSettings,
                     "'" + std::string(text) + "' is not an IP number and port"};
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return makeError();
    std::string host(text.substr(0, colon));
    const auto portText = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, status] =
        std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (status != std::errc() || end != portText.data() + portText.size() || port > 65535)
        return makeError();
    in6_addr parsedHost;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        if (inet_pton(AF_INET6, host.c_str(), &parsedHost) != 1)
            return makeError();
    } else if (inet_pton(AF_INET, host.c_str(), &parsedHost) != 1) {
        return makeError();
    }
    return Address{host, static_cast<uint16_t>(port)};
}

std::string toString(const Address &address)
{
    const bool isIpv6 = address.host.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address.host + "]" : address.host) + ":" + std::to_string(address.port);
}

} // namespace tray
