// Submits tickets to the object API: check, sections, and the head by one conditional update.
#pragma once

#include "base/Time.h"
#include "catalogue/TicketBoard.h"
#include "edge/ObjectApi.h"
#include "membership/Backoff.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <vector>

namespace tray {

/// What became of a ticket.
struct TicketAcceptance
{
    uint64_t headVersion = 0;
    /// The ticket had been accepted before this call.
    bool before = false;
};

/// Waits between attempts of a submission.
struct TicketRetry
{
    Duration first = milliseconds(20);
    Duration longest = milliseconds(500);
};

/// Reads the configuration and submits tickets. Used by one coroutine at a time.
class TicketSubmitter
{
public:
    /// The random number, from 0 to 1, spreads the attempts of racing operators.
    TicketSubmitter(ObjectApi &api, std::function<double()> random, TicketRetry retry = {});

    /// Present configuration. Fails with PlatformUnavailable.
    boost::asio::awaitable<Result<TicketBoard>> readBoard();
    /// Decides on a ticket without writing.
    boost::asio::awaitable<Result<TicketPlan>> check(proto::Ticket ticket,
                                                     std::vector<EngineRoom> engines);
    /// Submits a ticket until it is accepted or refused. Fails with TicketRefused;
    /// PlatformUnavailable at the deadline if nothing was written; OutcomeUnknown at the deadline
    /// if the ticket may have been accepted. Submitting the same ticket again is safe in all cases.
    boost::asio::awaitable<Result<TicketAcceptance>>
    submit(proto::Ticket ticket, std::vector<EngineRoom> engines, Instant deadline);

private:
    enum class Step { Accepted, Again, Unclear, Refused };
    struct Attempt
    {
        Step step = Step::Again;
        TicketAcceptance acceptance;
        Error problem;
    };

    static Attempt failed(const Error &problem);
    boost::asio::awaitable<Attempt> attempt(proto::Ticket ticket, std::vector<EngineRoom> engines);
    boost::asio::awaitable<Attempt> writeHead(proto::Head head);
    boost::asio::awaitable<Result<Unit>> writeSections(const SectionBytes &sections);

    ObjectApi &api;
    std::function<double()> random;
    const TicketRetry retry;
    // Version of the head object that readBoard() saw; 0 if there is none.
    uint64_t headObjectVersion = 0;
};

} // namespace tray
