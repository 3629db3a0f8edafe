// Implements `trayctl ticket`: submits and checks tickets, and waits until they are in force.
#pragma once

#include "ctl/CtlSession.h"
#include "ctl/Lists.h"

#include <string>

namespace tray {

/// Exit statuses of trayctl in addition to those that all programs have in common.
enum CtlExitStatus {
    /// The ticket may have been accepted. Submitting it again is safe and shows whether it was.
    ExitOutcomeUnknown = 3,
    /// The platform or the process does not answer.
    ExitUnreachable = 4,
    /// The ticket is accepted but not yet applied by all processes.
    ExitNotInForce = 5,
};

/// Returns the exit status for an error.
int exitStatusOf(ErrorKind kind);
/// Returns the help text on exit statuses.
std::string exitStatusHelp();

/// Reads a ticket from a JSON file; "-" is standard input. Fails with BadRequest.
Result<proto::Ticket> readTicket(const std::string &file);

/// Ticket commands. Each prints to standard output and returns an exit status.
class TicketCommands
{
public:
    /// followTimeout is the longest time to wait until a ticket is in force in all processes.
    TicketCommands(CtlSession &session, OutputFormat format, Duration followTimeout);

    int submit(const std::string &file, bool follow);
    int check(const std::string &file);
    int follow(uint64_t number);

private:
    /// Prints each change of the progress until all processes have applied the head version, or
    /// until the timeout.
    int followHead(uint64_t number, uint64_t headVersion);
    void print(uint64_t number, const std::string &state, uint64_t headVersion,
               const std::string &progress);

    CtlSession &session;
    OutputFormat format;
    Duration followTimeout;
};

} // namespace tray
