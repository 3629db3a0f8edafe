#include "config/SectionFamily.h"

#include <CLI/CLI.hpp>
#include <sstream>

namespace tray {

namespace {

std::string quote(const std::string &text)
{
    const char quoteMark = text.find('"') == std::string::npos ? '"' : '\'';
    return quoteMark + text + quoteMark;
}

} // namespace

Result<std::map<std::string, std::string>>
splitFamily(const std::string &text, const std::string &fileName, const std::string &family)
{
    std::vector<CLI::ConfigItem> items;
    try {
        std::istringstream stream(text);
        items = CLI::ConfigINI().from_config(stream);
    } catch (const CLI::Error &failure) {
        return Error{ErrorKind::InvalidSettings, fileName + ": " + failure.what()};
    }
    std::map<std::string, std::string> sections;
    for (const auto &item : items) {
        if (item.parents.size() < 2 || item.parents.front() != family)
            continue;
        std::string name;
        for (size_t i = 1; i < item.parents.size(); ++i)
            name += (i == 1 ? "" : ".") + item.parents[i];
        auto &section = sections.try_emplace(name, "[" + family + "]\n").first->second;
        // CLI11 reports the start and the end of a section as items with these names.
        if (item.name == "++" || item.name == "--")
            continue;
        std::string commaSeparated;
        for (const auto &input : item.inputs)
            commaSeparated += (commaSeparated.empty() ? "" : ",") + input;
        section += item.name + " = " + quote(commaSeparated) + "\n";
    }
    return sections;
}

} // namespace tray
