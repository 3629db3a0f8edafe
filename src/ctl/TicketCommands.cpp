#include "ctl/TicketCommands.h"

#include "config/ProgramOptions.h"
#include "ctl/Output.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <iostream>
#include <sstream>
#include <thread>

namespace tray {

namespace {

constexpr auto FollowInterval = milliseconds(100);

/// Prints an error and returns its exit status.
int reportError(const Error &problem)
{
    std::cerr << "trayctl: " << enumName(problem.kind) << ": " << problem.message << '\n';
    return exitStatusOf(problem.kind);
}

/// Returns the head version that a ticket created; 0 if it is not known.
uint64_t findHeadVersion(const TicketBoard &board, uint64_t number)
{
    for (const auto &outcome : board.head().recent()) {
        if (outcome.number() == number)
            return outcome.head_version();
    }
    for (const auto &[key, object] : board.contents()) {
        if (object.ticket() == number)
            return object.head_version();
    }
    return 0;
}

uint32_t countLiveInstances(const proto::InstanceList &list)
{
    return static_cast<uint32_t>(
        std::count_if(list.instances().begin(), list.instances().end(),
                      [](const auto &instance) { return !instance.leaving(); }));
}

} // namespace

int exitStatusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::None:
        return ExitOk;
    case ErrorKind::BadRequest:
    case ErrorKind::InvalidSettings:
        return ExitUsage;
    case ErrorKind::OutcomeUnknown:
        return ExitOutcomeUnknown;
    case ErrorKind::PlatformUnavailable:
    case ErrorKind::UpstreamUnreachable:
    case ErrorKind::Timeout:
    case ErrorKind::Overloaded:
        return ExitUnreachable;
    default:
        return ExitFailure;
    }
}

std::string exitStatusHelp()
{
    return "Exit status: 0 done; 1 refused or failed; 2 wrong command line, file or settings;\n"
           "3 unclear whether the ticket was accepted (submit the same file again);\n"
           "4 the platform or the process does not answer, and nothing was changed;\n"
           "5 the ticket is accepted but was not in force everywhere in time.";
}

Result<proto::Ticket> readTicket(const std::string &file)
{
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
    } else {
        const std::ifstream input(file);
        if (!input)
            return Error{ErrorKind::BadRequest, file + ": cannot be read"};
        text << input.rdbuf();
    }
    proto::Ticket ticket;
    const auto parsed = google::protobuf::util::JsonStringToMessage(text.str(), &ticket);
    if (!parsed.ok())
        return Error{ErrorKind::BadRequest, file + ": " + std::string(parsed.message())};
    return ticket;
}

TicketCommands::TicketCommands(CtlSession &session, OutputFormat format, Duration followTimeout)
    : session(session), format(format), followTimeout(followTimeout)
{}

int TicketCommands::submit(const std::string &file, bool follow)
{
    const auto ticket = readTicket(file);
    if (!isOk(ticket))
        return reportError(error(ticket));
    const auto accepted = this->session.submit(value(ticket), this->followTimeout);
    if (!isOk(accepted))
        return reportError(error(accepted));
    const auto number = value(ticket).number();
    this->print(number, value(accepted).alreadyAccepted ? "accepted before" : "accepted",
                value(accepted).headVersion, "");
    if (!follow || !this->session.hasEntry())
        return ExitOk;
    return this->followHead(number, value(accepted).headVersion);
}

int TicketCommands::check(const std::string &file)
{
    const auto ticket = readTicket(file);
    if (!isOk(ticket))
        return reportError(error(ticket));
    const auto plan = this->session.check(value(ticket));
    if (!isOk(plan))
        return reportError(error(plan));
    this->print(value(ticket).number(),
                value(plan).alreadyAccepted ? "accepted before" : "acceptable",
                value(plan).headVersion, "");
    return ExitOk;
}

int TicketCommands::follow(uint64_t number)
{
    const auto board = this->session.readBoard();
    if (!isOk(board))
        return reportError(error(board));
    const uint64_t headVersion = findHeadVersion(value(board), number);
    if (headVersion == 0)
        return reportError({ErrorKind::NotFound,
                            "ticket " + std::to_string(number) +
                                " was not accepted, or later tickets replaced all that it set"});
    return this->followHead(number, headVersion);
}

int TicketCommands::followHead(uint64_t number, uint64_t headVersion)
{
    const auto deadline = std::chrono::steady_clock::now() + this->followTimeout;
    std::string printedProgress;
    while (true) {
        const auto systemStatus = this->session.readStatus();
        if (isOk(systemStatus)) {
            const auto &inForce = value(systemStatus).whole();
            const auto liveCount = countLiveInstances(value(systemStatus).instances());
            const bool inForceEverywhere =
                inForce.processes() >= liveCount && inForce.lowest_head() >= headVersion;
            std::string progress = std::to_string(inForce.processes()) + " of " +
                                   std::to_string(liveCount) + " processes counted, lowest head " +
                                   std::to_string(inForce.lowest_head());
            for (const auto &name : inForce.lagging())
                progress += " lagging " + name;
            if (progress != printedProgress || inForceEverywhere)
                this->print(number, inForceEverywhere ? "in force" : "spreading", headVersion,
                            progress);
            printedProgress = progress;
            if (inForceEverywhere)
                return ExitOk;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            if (!isOk(systemStatus))
                return reportError(error(systemStatus));
            return ExitNotInForce;
        }
        std::this_thread::sleep_for(FollowInterval);
    }
}

void TicketCommands::print(uint64_t number, const std::string &state, uint64_t headVersion,
                           const std::string &progress)
{
    if (this->format == OutputFormat::Json) {
        boost::json::object line;
        line["ticket"] = number;
        line["state"] = state;
        line["head_version"] = headVersion;
        line["progress"] = progress;
        std::cout << boost::json::serialize(line) << std::endl;
        return;
    }
    std::cout << "ticket " << number << ' ' << state << ", head " << headVersion
              << (progress.empty() ? "" : ": " + progress) << std::endl;
}

} // namespace tray
