// Result type of functions that can fail. They return a value or an Error and throw no exception.
#pragma once

#include "base/ErrorKind.h"

#include <cassert>
#include <string>
#include <utility>
#include <variant>

namespace tray {

/// An error: its kind and a human-readable message.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    /// Time after which a retry is useful, in ms; 0 for the default of the kind.
    int retryAfterMs = 0;
    /// JSON pointer to the field of a document that the error is about; empty if there is none.
    std::string field;
};

/// Success value of functions that return nothing else.
using Unit = std::monostate;

template <typename T>
using Result = std::variant<T, Error>;

template <typename T>
bool isOk(const Result<T> &result)
{
    return result.index() == 0;
}

/// Returns the value. The caller must have checked isOk().
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

/// Returns the error. The caller must have checked isOk().
template <typename T>
const Error &error(const Result<T> &result)
{
    assert(!isOk(result));
    return *std::get_if<1>(&result);
}

} // namespace tray
