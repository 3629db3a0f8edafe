// Submits tickets to the object API: checks the ticket, writes its sections, and makes it effective
// by one conditional update of the head.
#pragma once

#include "base/Time.h"
#include "catalogue/TicketBoard.h"
#include "edge/ObjectApi.h"
#include "membership/Backoff.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <vector>

namespace tray {

/// Result of an accepted submission.
struct TicketAcceptance
{
    /// Version of the head that contains the ticket.
    uint64_t headVersion = 0;
    /// The ticket was already accepted before this call.
    bool alreadyAccepted = false;
};

/// Backoff between the attempts of a submission.
struct TicketRetry
{
    Duration initialBackoff = milliseconds(20);
    Duration maxBackoff = milliseconds(500);
};

/// Reads the configuration and submits tickets. Not safe for concurrent use by several coroutines.
class TicketSubmitter
{
public:
    /// The random function returns numbers from 0 to 1 for the jitter of the backoff, which spreads
    /// the attempts of operators that submit concurrently.
    TicketSubmitter(ObjectApi &api, std::function<double()> random, TicketRetry retry = {});

    /// Reads the current configuration. Fails with PlatformUnavailable.
    boost::asio::awaitable<Result<TicketBoard>> readBoard();
    /// Checks a ticket without writing.
    boost::asio::awaitable<Result<TicketPlan>> check(proto::Ticket ticket,
                                                     std::vector<EngineCapacity> engines);
    /// Submits a ticket, and retries until it is accepted or refused or the deadline passes. Fails
    /// with TicketRefused; at the deadline with PlatformUnavailable if nothing was written, or with
    /// OutcomeUnknown if the ticket may have been accepted. Submitting the same ticket again is
    /// safe in all cases.
    boost::asio::awaitable<Result<TicketAcceptance>>
    submit(proto::Ticket ticket, std::vector<EngineCapacity> engines, Instant deadline);

private:
    enum class AttemptResult { Accepted, Retry, OutcomeUnknown, Refused };
    struct Attempt
    {
        AttemptResult result = AttemptResult::Retry;
        TicketAcceptance acceptance;
        Error problem;
    };

    static Attempt makeFailedAttempt(const Error &problem);
    boost::asio::awaitable<Attempt> attempt(proto::Ticket ticket,
                                            std::vector<EngineCapacity> engines);
    boost::asio::awaitable<Attempt> writeHead(proto::Head head);
    boost::asio::awaitable<Result<Unit>> writeSections(const SectionBytes &sections);

    ObjectApi &api;
    std::function<double()> random;
    const TicketRetry retry;
    // Version of the head object that readBoard() read; 0 if there is none.
    uint64_t headObjectVersion = 0;
};

} // namespace tray
