// HTTP and JSON helpers of the stand-ins.
#pragma once

#include "net/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace tray::fakes {

/// Response with a JSON body.
inline HttpResponse jsonResponse(int status, const boost::json::value &body)
{
    return makeResponse(status, "application/json", boost::json::serialize(body));
}

/// Error response in the format of the engine protocol.
inline HttpResponse jsonError(int status, std::string_view message)
{
    const boost::json::object detail{{"message", message}, {"type", "error"}};
    const boost::json::object body{{"error", detail}};
    return jsonResponse(status, body);
}

/// Parses a JSON object; returns an empty object if the text is not one.
inline boost::json::object parseObject(const std::string &text)
{
    boost::json::error_code code;
    auto parsed = boost::json::parse(text, code);
    if (code || !parsed.is_object())
        return {};
    return parsed.as_object();
}

/// Number in a field of an object; the default if there is none.
inline double numberField(const boost::json::object &object, std::string_view key,
                          double defaultValue)
{
    const auto *found = object.if_contains(key);
    if (found == nullptr || !found->is_number())
        return defaultValue;
    return found->to_number<double>();
}

/// Text in a field of an object; empty if there is none.
inline std::string textField(const boost::json::object &object, std::string_view key)
{
    const auto *found = object.if_contains(key);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

/// Boolean in a field of an object; the default if there is none.
inline bool boolField(const boost::json::object &object, std::string_view key, bool defaultValue)
{
    const auto *found = object.if_contains(key);
    return found != nullptr && found->is_bool() ? found->as_bool() : defaultValue;
}

/// Suspends the coroutine for the given time, on the caller's executor.
boost::asio::awaitable<void> pauseFor(std::chrono::steady_clock::duration time);

} // namespace tray::fakes
