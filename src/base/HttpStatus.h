// Which numbers are statuses of HTTP responses.
#pragma once

#include <cstdint>

namespace tray {

/// What a status says about the response that carries it.
enum class HttpStatusKind : uint8_t {
    /// Not a status of HTTP. The response is malformed, and the request may have run.
    Invalid,
    /// Another response to the same request follows.
    Interim,
    Final,
};

constexpr HttpStatusKind httpStatusKind(int64_t status)
{
    if (status < 100 || status > 599)
        return HttpStatusKind::Invalid;
    return status < 200 ? HttpStatusKind::Interim : HttpStatusKind::Final;
}

} // namespace tray
