// `trayctl ticket`: submits, checks and follows tickets.
#pragma once

#include "ctl/CtlSession.h"
#include "ctl/Lists.h"

#include <string>

namespace tray {

/// Exit statuses of trayctl beyond those of all programs.
enum CtlExitStatus {
    /// A ticket may have been accepted; submitting it again is safe and tells.
    ExitUnclear = 3,
    /// The platform or the process asked does not answer.
    ExitUnreachable = 4,
    /// The ticket is accepted but not yet in force everywhere.
    ExitNotInForce = 5,
};

/// Exit status that belongs to an error.
int exitStatusOf(ErrorKind kind);
/// Help text on exit statuses.
std::string exitStatusHelp();

/// Reads a ticket from a JSON file; "-" is standard input. Fails with BadRequest.
Result<proto::Ticket> readTicket(const std::string &file);

/// Commands that print to standard output and return an exit status.
class TicketCommands
{
public:
    /// followLimit is the longest wait until a ticket is in force everywhere.
    TicketCommands(CtlSession &session, OutputForm form, Duration followLimit);

    int submit(const std::string &file, bool follow);
    int check(const std::string &file);
    int follow(uint64_t number);

private:
    int followHead(uint64_t number, uint64_t headVersion);
    void print(uint64_t number, const std::string &state, uint64_t headVersion,
               const std::string &more);

    CtlSession &session;
    OutputForm form;
    Duration followLimit;
};

} // namespace tray
