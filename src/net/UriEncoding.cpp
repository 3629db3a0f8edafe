// Implements the percent-encoding of RFC 3986.
#include "net/UriEncoding.h"

namespace tray {

namespace {

constexpr std::string_view Unreserved =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
constexpr std::string_view HexDigits = "0123456789ABCDEF";

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::string encode(std::string_view text, bool keepsSlashes)
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        if ((keepsSlashes && c == '/') || Unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += HexDigits[byte >> 4];
        encoded += HexDigits[byte & 15];
    }
    return encoded;
}

} // namespace

std::string percentEncode(std::string_view text)
{
    return encode(text, false);
}

std::string percentEncodePath(std::string_view path)
{
    return encode(path, true);
}

std::string
withQuery(std::string path,
          std::initializer_list<std::pair<std::string_view, std::string_view>> parameters)
{
    char separator = '?';
    for (const auto &[name, value] : parameters) {
        path += separator;
        path += name;
        path += '=';
        path += percentEncode(value);
        separator = '&';
    }
    return path;
}

std::optional<char> escapedByte(std::string_view text)
{
    if (text.size() < 3 || text[0] != '%' || hexDigit(text[1]) < 0 || hexDigit(text[2]) < 0)
        return std::nullopt;
    return static_cast<char>(hexDigit(text[1]) * 16 + hexDigit(text[2]));
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded += text.front();
            text.remove_prefix(1);
            continue;
        }
        const auto byte = escapedByte(text);
        if (!byte)
            return std::nullopt;
        decoded += *byte;
        text.remove_prefix(3);
    }
    return decoded;
}

} // namespace tray
