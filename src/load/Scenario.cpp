#include "load/Scenario.h"

#include "config/SectionFamily.h"

#include <algorithm>
#include <sstream>

namespace tray {

namespace {

Error sectionError(const std::string &section, const std::string &what)
{
    return Error{ErrorKind::InvalidSettings, "[" + section + "]: " + what};
}

template <typename Message>
Result<Unit> readSections(std::map<std::string, Message> &target, const std::string &family,
                          const std::string &text, const std::string &fileName)
{
    auto read = readFamily<Message>(text, fileName, family);
    if (!isOk(read))
        return error(read);
    target = std::move(value(read));
    return Unit{};
}

Result<Unit> checkFlow(const Scenario &scenario, const std::string &name,
                       const proto::LoadFlowSection &flow)
{
    const std::string section = "flow." + name;
    if (scenario.clientAccounts.count(flow.client_account()) == 0)
        return sectionError(section,
                            "there is no section [client_account." + flow.client_account() + "]");
    if (flow.kind() == "service" ? flow.service().empty() : splitCommas(flow.models()).empty())
        return sectionError(section, "names neither a model nor a service");
    const bool hasEntryInstance =
        std::any_of(scenario.entries.begin(), scenario.entries.end(), [&](const auto &entry) {
            return flow.data_centre() == "any" ||
                   entry.second.entry().data_centre() == flow.data_centre();
        });
    if (!hasEntryInstance)
        return sectionError(section, "no entry stands in data centre " + flow.data_centre());
    return Unit{};
}

} // namespace

const std::vector<std::string> &scenarioFamilies()
{
    static const std::vector<std::string> Families = {"entry", "client_account", "flow", "fault",
                                                      "counter"};
    return Families;
}

Result<Scenario> readScenario(const proto::LoadSection &load, const std::string &text,
                              const std::string &fileName)
{
    Scenario scenario;
    scenario.load = load;
    for (const auto &result :
         {readSections(scenario.entries, "entry", text, fileName),
          readSections(scenario.clientAccounts, "client_account", text, fileName),
          readSections(scenario.flows, "flow", text, fileName),
          readSections(scenario.faults, "fault", text, fileName),
          readSections(scenario.counters, "counter", text, fileName)}) {
        if (!isOk(result))
            return error(result);
    }
    if (scenario.flows.empty())
        return Error{ErrorKind::InvalidSettings, fileName + ": has no section [flow.NAME]"};
    for (const auto &[name, settings] : scenario.flows) {
        if (auto result = checkFlow(scenario, name, settings.flow()); !isOk(result))
            return error(result);
    }
    return scenario;
}

std::vector<std::string> splitCommas(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        const auto first = part.find_first_not_of(' ');
        if (first != std::string::npos)
            parts.push_back(part.substr(first, part.find_last_not_of(' ') - first + 1));
    }
    return parts;
}

std::vector<Address> parseAddressList(const std::string &list)
{
    std::vector<Address> addresses;
    for (const auto &part : splitCommas(list)) {
        if (auto parsed = parseAddress(part); isOk(parsed))
            addresses.push_back(value(parsed));
    }
    return addresses;
}

} // namespace tray
