// Helpers that the HTTP stand-ins share.
#pragma once

#include "net/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace tray::fakes {

/// Answer with a JSON body.
inline HttpResponse jsonResponse(int status, const boost::json::value &body)
{
    return makeResponse(status, "application/json", boost::json::serialize(body));
}

/// Error answer in the format of the engine protocol.
inline HttpResponse jsonError(int status, std::string_view message)
{
    const boost::json::object detail{{"message", message}, {"type", "error"}};
    const boost::json::object body{{"error", detail}};
    return jsonResponse(status, body);
}

/// Object in a body; empty if the body is not a JSON object.
inline boost::json::object parseObject(const std::string &text)
{
    boost::json::error_code code;
    auto parsed = boost::json::parse(text, code);
    if (code || !parsed.is_object())
        return {};
    return parsed.as_object();
}

/// Number of an object's client account, or the default.
inline double numberOf(const boost::json::object &object, std::string_view key, double otherwise)
{
    const auto *found = object.if_contains(key);
    if (found == nullptr || !found->is_number())
        return otherwise;
    return found->to_number<double>();
}

/// Text of an object's client account; empty if there is none.
inline std::string textOf(const boost::json::object &object, std::string_view key)
{
    const auto *found = object.if_contains(key);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

/// Truth of an object's client account, or the default.
inline bool flagOf(const boost::json::object &object, std::string_view key, bool otherwise)
{
    const auto *found = object.if_contains(key);
    return found != nullptr && found->is_bool() ? found->as_bool() : otherwise;
}

/// Waits on the caller's executor.
boost::asio::awaitable<void> pauseFor(std::chrono::steady_clock::duration time);

} // namespace tray::fakes
