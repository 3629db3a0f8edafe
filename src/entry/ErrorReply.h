// Error answers to callers, in the JSON form of the protocol.
#pragma once

#include "base/Result.h"
#include "net/HttpMessage.h"

#include <optional>

namespace tray {

/// Answer for an error. Says "ran" as the kind's row of the answer table does, unless the caller of
/// this function knows better.
HttpResponse errorReply(const Error &error, std::optional<Ran> ran = std::nullopt,
                        std::string_view parameter = {});

} // namespace tray
