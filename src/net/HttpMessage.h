// HTTP request and response types that do not depend on the parsing library.
#pragma once

#include "base/Result.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tray {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Compares two ASCII strings, such as header names, without regard to case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Returns the value of the first header with this name, ignoring case; empty if there is none.
std::string_view findHeader(const HttpHeaders &headers, std::string_view name);

/// Returns whether a text can be the value of a header: it has no control characters but tabs, and
/// no spaces around it, which readers strip.
bool isHeaderValue(std::string_view text);

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

/// Returns headers that consist of a content type only. Also avoids header initializer lists inside
/// a co_await expression, which g++ 12 rejects.
HttpHeaders contentType(std::string type);

/// Returns a response with a status, a content type and a body.
HttpResponse makeResponse(int status, std::string type, std::string body);

/// Checks that a head can be written so that its reader finds these headers and no others. Fails
/// with BadRequest.
Result<Unit> checkHeaders(const HttpHeaders &headers);
/// The same for the method, the target and the headers of a request.
Result<Unit> checkHead(const HttpRequest &request);

/// Returns the path of a request target without its query.
std::string_view pathOf(std::string_view target);

/// Returns the decoded value of a query parameter; empty if there is none.
std::string queryParameter(std::string_view target, std::string_view name);

} // namespace tray
