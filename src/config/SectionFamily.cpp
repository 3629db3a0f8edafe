// Splits an INI file into the sections of one family by CLI11's INI parser.
#include "config/SectionFamily.h"

#include <CLI/CLI.hpp>
#include <sstream>

namespace tray {

namespace {

std::string inQuotes(const std::string &text)
{
    const char mark = text.find('"') == std::string::npos ? '"' : '\'';
    return mark + text + mark;
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
        // CLI11 marks the start and end of a section by items with these names.
        if (item.name == "++" || item.name == "--")
            continue;
        std::string joined;
        for (const auto &input : item.inputs)
            joined += (joined.empty() ? "" : ",") + input;
        section += item.name + " = " + inQuotes(joined) + "\n";
    }
    return sections;
}

} // namespace tray
