// Header look-up and parsing of request targets.
#include "net/HttpMessage.h"

#include "base/Ascii.h"
#include "net/UriEncoding.h"

#include <algorithm>
#include <cctype>

namespace tray {

namespace {

/// Returns whether a text is a token of RFC 9110, as methods and names of headers are.
bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 ||
               std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) !=
                   std::string_view::npos;
    });
}

bool isTarget(std::string_view text)
{
    return !text.empty() &&
           std::none_of(text.begin(), text.end(), [](char c) { return c == ' ' || isControl(c); });
}

bool isBlank(char c)
{
    return c == ' ' || c == '\t';
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(),
                                                     [](unsigned char a, unsigned char b) {
                                                         return std::tolower(a) == std::tolower(b);
                                                     });
}

std::string_view findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[key, text] : headers) {
        if (equalsIgnoringCase(key, name))
            return text;
    }
    return {};
}

bool isHeaderValue(std::string_view text)
{
    if (!text.empty() && (isBlank(text.front()) || isBlank(text.back())))
        return false;
    return std::none_of(text.begin(), text.end(), [](char c) { return isControl(c) && c != '\t'; });
}

Result<Unit> checkHeaders(const HttpHeaders &headers)
{
    for (const auto &[name, text] : headers) {
        if (!isToken(name))
            return Error{ErrorKind::BadRequest, "the name of a header has characters that it "
                                                "cannot have"};
        if (!isHeaderValue(text))
            return Error{ErrorKind::BadRequest,
                         "the value of header " + name + " has characters that it cannot have"};
    }
    return Unit{};
}

Result<Unit> checkHead(const HttpRequest &request)
{
    if (!isToken(request.method) || !isTarget(request.target))
        return Error{ErrorKind::BadRequest,
                     "the method or the target has characters that it cannot have"};
    return checkHeaders(request.headers);
}

HttpHeaders contentType(std::string type)
{
    return {{"Content-Type", std::move(type)}};
}

HttpResponse makeResponse(int status, std::string type, std::string body)
{
    return {status, contentType(std::move(type)), std::move(body)};
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos)
        return {};
    auto rest = target.substr(question + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) != name)
            continue;
        std::string decoded;
        const auto raw = equals == std::string_view::npos ? "" : pair.substr(equals + 1);
        for (size_t i = 0; i < raw.size(); ++i) {
            if (const auto byte = escapedByte(raw.substr(i))) {
                decoded += *byte;
                i += 2;
            } else {
                decoded += raw[i] == '+' ? ' ' : raw[i];
            }
        }
        return decoded;
    }
    return {};
}

} // namespace tray
