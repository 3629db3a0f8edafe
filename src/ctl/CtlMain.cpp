// Program trayctl: command line client for operators.
#include "config/ProgramOptions.h"
#include "ctl/CtlSession.h"
#include "ctl/Lists.h"
#include "ctl/Output.h"
#include "ctl/TicketCommands.h"
#include "ctl/Timeline.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

using namespace tray;

namespace {

/// Values of the command line options.
struct Options
{
    std::string entry;
    std::string platform;
    std::string output = "table";
    int timeoutMs = 2000;
    int followMs = 10000;
    std::string file;
    uint64_t number = 0;
    std::string listKind;
    std::string upstream;
    bool undo = false;
    bool noFollow = false;
    std::string html;
    std::string subject;
};

/// Prints an error and returns its exit status.
int reportError(const Error &problem)
{
    std::cerr << "trayctl: " << enumName(problem.kind) << ": " << problem.message << '\n';
    return exitStatusOf(problem.kind);
}

int runList(CtlSession &session, const Options &options)
{
    const auto text = formatList(session, *enumFromName<ListKind>(options.listKind),
                                 *enumFromName<OutputFormat>(options.output));
    if (!isOk(text))
        return reportError(error(text));
    std::cout << value(text);
    return ExitOk;
}

int runDrain(CtlSession &session, const Options &options)
{
    const auto systemStatus = session.readStatus();
    if (!isOk(systemStatus))
        return reportError(error(systemStatus));
    for (const auto &status : value(systemStatus).upstreams()) {
        if (status.upstream() != options.upstream)
            continue;
        const auto address = parseAddress(status.control_address());
        if (!isOk(address))
            return reportError(error(address));
        proto::ControlRequest request;
        request.mutable_drain()->set_upstream(options.upstream);
        request.mutable_drain()->set_undo(options.undo);
        const auto reply = session.sendRequest(value(address), request);
        if (!isOk(reply))
            return reportError(error(reply));
        const auto &drain = value(reply).drain();
        std::cout << (options.output == "json"
                          ? toJson(drain)
                          : (drain.accepted() ? "accepted " : "refused ") + drain.message())
                  << '\n';
        return drain.accepted() ? ExitOk : ExitFailure;
    }
    return reportError({ErrorKind::NotFound, "no upstream " + options.upstream});
}

int runTimeline(CtlSession &session, const Options &options)
{
    const auto timeline = collectTimeline(session, options.subject);
    if (!isOk(timeline))
        return reportError(error(timeline));
    if (!options.html.empty()) {
        std::ofstream file(options.html);
        file << timelineHtml(value(timeline));
        if (!file.flush())
            return reportError({ErrorKind::BadRequest, options.html + ": cannot be written"});
        return ExitOk;
    }
    if (options.output == "json") {
        JsonList json;
        for (const auto &event : value(timeline).events)
            json.add(event);
        std::cout << json.text();
        return ExitOk;
    }
    std::cout << timelineText(value(timeline));
    return ExitOk;
}

std::optional<Address> parseOptionalAddress(const std::string &text)
{
    const auto address = parseAddress(text);
    return isOk(address) ? std::optional(value(address)) : std::nullopt;
}

std::string checkAddress(const std::string &text)
{
    const auto address = parseAddress(text);
    return isOk(address) ? std::string() : error(address).message;
}

/// Returns the names of the values of an enumeration for the command line.
template <typename Enum>
std::vector<std::string> enumeratorNames()
{
    std::vector<std::string> names;
    for (const auto &row : EnumNames<Enum>::Table)
        names.emplace_back(row.name);
    return names;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app{"Operators' client: tickets, lists, drain and time line.", "trayctl"};
    app.set_version_flag("--version", "trayctl " TRAY_VERSION);
    app.footer(exitStatusHelp());
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--entry", options.entry, "Control address of any tray-entry or tray-agent")
        ->check(checkAddress);
    app.add_option("--platform", options.platform, "Address of the platform's object API")
        ->check(checkAddress);
    app.add_option("--output", options.output, "Form of the output")
        ->check(CLI::IsMember(enumeratorNames<OutputFormat>()))
        ->capture_default_str();
    app.add_option("--timeout-ms", options.timeoutMs, "Longest wait for one call")
        ->check(CLI::Range(50, 60000))
        ->capture_default_str();

    auto *ticket = app.add_subcommand("ticket", "Submits, checks or follows a ticket");
    ticket->require_subcommand(1);
    auto *submit = ticket->add_subcommand("submit", "Submits a ticket and waits until it is in "
                                                    "force everywhere");
    submit->add_option("file", options.file, "Ticket as JSON; - for standard input")->required();
    submit->add_flag("--no-follow", options.noFollow, "Ends once the ticket is accepted");
    auto *check = ticket->add_subcommand("check", "Checks a ticket without submitting it");
    check->add_option("file", options.file, "Ticket as JSON; - for standard input")->required();
    auto *follow = ticket->add_subcommand("follow", "Waits until a ticket is in force everywhere");
    follow->add_option("number", options.number, "Number of the ticket")->required();
    for (auto *command : {submit, follow})
        command->add_option("--follow-ms", options.followMs, "Longest wait")
            ->check(CLI::Range(0, 3600000))
            ->capture_default_str();
    auto *list = app.add_subcommand("list", "Lists objects, upstreams, instances or placement");
    list->add_option("what", options.listKind, "What to list")
        ->required()
        ->check(CLI::IsMember(enumeratorNames<ListKind>()));
    auto *drain = app.add_subcommand("drain", "Takes an upstream out of service, or back in");
    drain->add_option("upstream", options.upstream, "Name of the upstream")->required();
    drain->add_flag("--undo", options.undo, "Takes the upstream back into service");
    auto *timeline = app.add_subcommand("timeline", "Shows events of all processes in order");
    timeline->add_option("--html", options.html, "Writes a self-contained page to a file");
    timeline->add_option("--subject", options.subject,
                         "Shows only the events of one request, ticket or upstream");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &failure) {
        return app.exit(failure) == 0 ? ExitOk : ExitUsage;
    }

    CtlSession session(parseOptionalAddress(options.entry), parseOptionalAddress(options.platform),
                       milliseconds(options.timeoutMs));
    TicketCommands tickets(session, *enumFromName<OutputFormat>(options.output),
                           milliseconds(options.followMs));
    if (submit->parsed())
        return tickets.submit(options.file, !options.noFollow);
    if (check->parsed())
        return tickets.check(options.file);
    if (follow->parsed())
        return tickets.follow(options.number);
    if (list->parsed())
        return runList(session, options);
    if (drain->parsed())
        return runDrain(session, options);
    return runTimeline(session, options);
}
