// Table that maps each error kind to its answer.
#include "base/ErrorKind.h"

#include <cassert>
#include <cstddef>

namespace tray {

namespace {

constexpr auto Answers = std::to_array<ErrorAnswer>({
    {ErrorKind::None, 200, "", false, Ran::Yes, 0},
    {ErrorKind::BadRequest, 400, "invalid_request_error", false, Ran::No, 0},
    {ErrorKind::Unauthorized, 401, "authentication_error", false, Ran::No, 0},
    {ErrorKind::Forbidden, 403, "permission_error", false, Ran::No, 0},
    {ErrorKind::UnknownModel, 404, "invalid_request_error", false, Ran::No, 0},
    {ErrorKind::BodyTooLarge, 413, "invalid_request_error", false, Ran::No, 0},
    {ErrorKind::HeaderTooLarge, 431, "invalid_request_error", false, Ran::No, 0},
    {ErrorKind::RequestTimeout, 408, "invalid_request_error", false, Ran::No, 0},
    {ErrorKind::IdempotencyConflict, 422, "invalid_request_error", false, Ran::No, 0},
    {ErrorKind::Overloaded, 429, "overloaded_error", true, Ran::No, 1000},
    {ErrorKind::NoReplica, 503, "overloaded_error", true, Ran::No, 2000},
    {ErrorKind::Draining, 503, "overloaded_error", true, Ran::No, 1000},
    {ErrorKind::NeverSeen, 503, "overloaded_error", true, Ran::No, 1000},
    {ErrorKind::UpstreamUnreachable, 503, "overloaded_error", true, Ran::No, 1000},
    {ErrorKind::UpstreamFailed, 502, "server_error", true, Ran::Unknown, 1000},
    {ErrorKind::StreamBroken, 502, "server_error", true, Ran::Unknown, 0},
    {ErrorKind::OutcomeUnknown, 502, "server_error", false, Ran::Unknown, 0},
    {ErrorKind::InProgress, 409, "conflict_error", false, Ran::Unknown, 1000},
    {ErrorKind::AnswerExpired, 410, "conflict_error", false, Ran::Yes, 0},
    {ErrorKind::SuspectRefused, 422, "invalid_request_error", false, Ran::No, 600000},
    {ErrorKind::PlatformUnavailable, 503, "server_error", false, Ran::No, 5000},
    {ErrorKind::VersionConflict, 409, "conflict_error", true, Ran::No, 0},
    {ErrorKind::NotFound, 404, "invalid_request_error", false, Ran::No, 0},
    {ErrorKind::TicketRefused, 409, "conflict_error", false, Ran::No, 0},
    {ErrorKind::InvalidSettings, 400, "invalid_request_error", false, Ran::No, 0},
    {ErrorKind::Timeout, 504, "server_error", true, Ran::Unknown, 1000},
    {ErrorKind::Cancelled, 499, "server_error", false, Ran::Unknown, 0},
    {ErrorKind::Stale, 503, "server_error", true, Ran::No, 1000},
    {ErrorKind::Internal, 500, "server_error", false, Ran::Unknown, 0},
    {ErrorKind::OutOfMemory, 503, "overloaded_error", true, Ran::No, 2000},
    {ErrorKind::SuspectQuarantined, 503, "server_error", false, Ran::No, 0},
    {ErrorKind::CannotContinue, 503, "server_error", false, Ran::No, 0},
    {ErrorKind::QuotaExceeded, 429, "rate_limit_error", false, Ran::No, 1000},
    {ErrorKind::QuotaUnavailable, 503, "overloaded_error", false, Ran::No, 500},
});

constexpr bool isTableComplete()
{
    for (size_t i = 0; i < Answers.size(); ++i) {
        if (static_cast<size_t>(Answers[i].kind) != i)
            return false;
    }
    return Answers.size() == EnumNames<ErrorKind>::Table.size();
}
static_assert(isTableComplete(), "one answer for each error kind, in order of value");

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind kind)
{
    const auto index = static_cast<size_t>(kind);
    return index < Answers.size() ? Answers[index]
                                  : Answers[static_cast<size_t>(ErrorKind::Internal)];
}

} // namespace tray
