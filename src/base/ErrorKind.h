// All error kinds, and the answer that a caller gets for each of them.
#pragma once

#include "base/EnumNames.h"

#include <cstdint>

namespace tray {

/// Kinds of errors. The numeric values are sent in messages and must not change.
enum class ErrorKind : uint32_t {
    None = 0,
    BadRequest = 1,
    Unauthorized = 2,
    Forbidden = 3,
    UnknownModel = 4,
    BodyTooLarge = 5,
    HeaderTooLarge = 6,
    RequestTimeout = 7,
    IdempotencyConflict = 8,
    Overloaded = 9,
    NoReplica = 10,
    Draining = 11,
    NeverSeen = 12,
    UpstreamUnreachable = 13,
    UpstreamFailed = 14,
    StreamBroken = 15,
    OutcomeUnknown = 16,
    InProgress = 17,
    AnswerExpired = 18,
    SuspectRefused = 19,
    PlatformUnavailable = 20,
    VersionConflict = 21,
    NotFound = 22,
    TicketRefused = 23,
    InvalidSettings = 24,
    Timeout = 25,
    Cancelled = 26,
    Stale = 27,
    Internal = 28,
    OutOfMemory = 29,
    SuspectQuarantined = 30,
    /// A stream that the caller has in part cannot be continued; it may be requested anew.
    CannotContinue = 31,
    /// The client account is over its limit.
    QuotaExceeded = 32,
    /// It is not known whether the client account is within its limit.
    QuotaUnavailable = 33,
};

/// Whether a request that ended with an error was executed by an upstream.
enum class Ran : uint8_t { No, Yes, Unknown };

/// Answer that a caller gets for an error kind.
struct ErrorAnswer
{
    ErrorKind kind;
    int httpStatus;
    /// Value of the "type" field of the JSON error.
    std::string_view type;
    /// The system itself may retry the request on another upstream.
    bool retryable;
    Ran ran;
    /// Default Retry-After, in ms; 0 if the header is not sent.
    int retryAfterMs;
};

/// Returns the answer for a kind. Values outside the table get the answer of Internal.
const ErrorAnswer &errorAnswer(ErrorKind kind);

template <>
struct EnumNames<ErrorKind>
{
    static constexpr auto Table = std::to_array<EnumName<ErrorKind>>({
        {ErrorKind::None, "none"},
        {ErrorKind::BadRequest, "bad_request"},
        {ErrorKind::Unauthorized, "unauthorized"},
        {ErrorKind::Forbidden, "forbidden"},
        {ErrorKind::UnknownModel, "model_not_found"},
        {ErrorKind::BodyTooLarge, "body_too_large"},
        {ErrorKind::HeaderTooLarge, "header_too_large"},
        {ErrorKind::RequestTimeout, "request_timeout"},
        {ErrorKind::IdempotencyConflict, "idempotency_conflict"},
        {ErrorKind::Overloaded, "overloaded"},
        {ErrorKind::NoReplica, "no_replica"},
        {ErrorKind::Draining, "draining"},
        {ErrorKind::NeverSeen, "never_seen"},
        {ErrorKind::UpstreamUnreachable, "upstream_unreachable"},
        {ErrorKind::UpstreamFailed, "upstream_failed"},
        {ErrorKind::StreamBroken, "stream_broken"},
        {ErrorKind::OutcomeUnknown, "outcome_unknown"},
        {ErrorKind::InProgress, "in_progress"},
        {ErrorKind::AnswerExpired, "answer_expired"},
        {ErrorKind::SuspectRefused, "suspect_refused"},
        {ErrorKind::PlatformUnavailable, "platform_unavailable"},
        {ErrorKind::VersionConflict, "version_conflict"},
        {ErrorKind::NotFound, "not_found"},
        {ErrorKind::TicketRefused, "ticket_refused"},
        {ErrorKind::InvalidSettings, "invalid_settings"},
        {ErrorKind::Timeout, "timeout"},
        {ErrorKind::Cancelled, "cancelled"},
        {ErrorKind::Stale, "stale"},
        {ErrorKind::Internal, "internal"},
        {ErrorKind::OutOfMemory, "out_of_memory"},
        {ErrorKind::SuspectQuarantined, "suspect_quarantined"},
        {ErrorKind::CannotContinue, "cannot_continue"},
        {ErrorKind::QuotaExceeded, "quota_exceeded"},
        {ErrorKind::QuotaUnavailable, "quota_unavailable"},
    });
};

template <>
struct EnumNames<Ran>
{
    static constexpr auto Table = std::to_array<EnumName<Ran>>({
        {Ran::No, "no"},
        {Ran::Yes, "yes"},
        {Ran::Unknown, "unknown"},
    });
};

} // namespace tray
