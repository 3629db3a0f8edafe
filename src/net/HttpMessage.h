// Plain HTTP messages, free of the library that parses them.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tray {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Compares names of headers and the like.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Value of the first header with the name, compared without case; empty if there is none.
std::string_view findHeader(const HttpHeaders &headers, std::string_view name);

struct HttpRequest
{
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// Headers with a content type only. Also saves braces of headers inside of a co_await, which g++
/// 12 rejects.
HttpHeaders contentType(std::string type);

/// Answer with a status, a content type and a body.
HttpResponse makeResponse(int status, std::string type, std::string body);

/// Path of a target without its query.
std::string_view pathOf(std::string_view target);

/// Decoded value of a query parameter; empty if there is none.
std::string queryParameter(std::string_view target, std::string_view name);

} // namespace tray
