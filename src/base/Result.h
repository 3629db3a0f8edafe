// Results of functions that can fail: a value or an Error, never an exception.
#pragma once

#include "base/ErrorKind.h"

#include <cassert>
#include <string>
#include <utility>
#include <variant>

namespace tray {

/// A failure with its kind and a message for people.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    /// Time after which a retry makes sense, in ms; 0 takes the default of the kind.
    int retryAfterMs = 0;
};

/// Value of functions that return nothing on success.
using Unit = std::monostate;

template <typename T>
using Result = std::variant<T, Error>;

template <typename T>
bool isOk(const Result<T> &result)
{
    return result.index() == 0;
}

/// The value; the caller has checked isOk.
template <typename T>
T &value(Result<T> &result)
{
    assert(isOk(result));
    return *std::get_if<0>(&result);
}

template <typename T>
const T &value(const Result<T> &result)
{
    assert(isOk(result));
    return *std::get_if<0>(&result);
}

template <typename T>
T &&value(Result<T> &&result)
{
    assert(isOk(result));
    return std::move(*std::get_if<0>(&result));
}

/// The error; the caller has checked isOk.
template <typename T>
const Error &error(const Result<T> &result)
{
    assert(!isOk(result));
    return *std::get_if<1>(&result);
}

} // namespace tray
