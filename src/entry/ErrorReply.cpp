// Serialises errors as JSON and rounds Retry-After to whole seconds.
#include "entry/ErrorReply.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace tray {

namespace json = boost::json;

HttpResponse errorReply(const Error &error, std::optional<Ran> ran, std::string_view parameter)
{
    const auto &row = errorAnswer(error.kind);
    json::object detail;
    detail["message"] = error.message;
    detail["type"] = row.type;
    detail["code"] = enumName(row.kind);
    if (parameter.empty())
        detail["param"] = nullptr;
    else
        detail["param"] = parameter;
    detail["ran"] = enumName(ran.value_or(row.ran));
    json::object body;
    body["error"] = std::move(detail);
    auto response = makeResponse(row.httpStatus, "application/json", json::serialize(body));
    if (row.retryAfterMs > 0) {
        const int waitMs = error.retryAfterMs > 0 ? error.retryAfterMs : row.retryAfterMs;
        // The header's unit is a whole second. Rounding down would cause retries that are too
        // early.
        response.headers.emplace_back("Retry-After", std::to_string((waitMs + 999) / 1000));
    }
    return response;
}

} // namespace tray
