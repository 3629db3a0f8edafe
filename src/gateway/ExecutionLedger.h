// What is known about the executions of one request: each attempt may have been executed unless
// there is evidence that it was not. Decides whether a caller may be told that the request was not
// executed.
#pragma once

#include "base/EnumNames.h"

#include <string>
#include <vector>

namespace tray {

/// How it is known that an attempt was not executed.
enum class NotExecutedEvidence : uint8_t {
    /// Not known; the attempt may have been executed.
    None,
    /// No connection was established, so nothing was sent.
    NotSent,
    /// The upstream stated in its answer that it did not execute the request. Given only if the
    /// upstream's address had not been sent the id before: a later refusal may be the copy of an
    /// earlier one.
    Refused
};

template <>
struct EnumNames<NotExecutedEvidence>
{
    static constexpr auto Table = std::to_array<EnumName<NotExecutedEvidence>>({
        {NotExecutedEvidence::None, "may_have_run"},
        {NotExecutedEvidence::NotSent, "not_sent"},
        {NotExecutedEvidence::Refused, "refused"},
    });
};

/// The attempts of one request, in their order.
class ExecutionLedger
{
public:
    /// Records that an attempt is about to be sent to an upstream.
    void beginAttempt(const std::string &upstreamId);
    /// Records what the last attempt has shown. The source tells where the evidence comes from, for
    /// the log: the status of an answer and whether its connection was reused.
    void endAttempt(NotExecutedEvidence evidence, std::string source = "");

    /// Number of attempts that may have been executed.
    int possibleExecutions() const;
    /// Returns each attempt with its evidence, or "never_attempted", for the log.
    std::string describe() const;

private:
    struct Attempt
    {
        std::string upstreamId;
        NotExecutedEvidence evidence = NotExecutedEvidence::None;
        std::string source;
    };

    std::vector<Attempt> attempts;
};

} // namespace tray
