// Formats errors as answers to callers: status, JSON body and Retry-After.
#pragma once

#include "base/Result.h"
#include "net/HttpMessage.h"

#include <optional>

namespace tray {

/// Makes the answer for an error. The field "ran" is taken from the error kind's row of the answer
/// table unless the argument ran is given. parameter names the field of the request that caused the
/// error, if there is one.
HttpResponse errorReply(const Error &error, std::optional<Ran> ran = std::nullopt,
                        std::string_view parameter = {});

} // namespace tray
