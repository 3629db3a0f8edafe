// Families of sections, such as [flow.NAME], that a settings file may repeat under different names.
#pragma once

#include "config/SettingsReader.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tray {

/// Text of each section of a family, rewritten under the plain family name; keyed by the name after
/// the dot. Fails with InvalidSettings.
Result<std::map<std::string, std::string>>
splitFamily(const std::string &text, const std::string &fileName, const std::string &family);

/// Reads all sections of a family; each becomes one message with defaults applied and checked.
template <typename Message>
Result<std::map<std::string, Message>>
readFamily(const std::string &text, const std::string &fileName, const std::string &family)
{
    auto split = splitFamily(text, fileName, family);
    if (!isOk(split))
        return error(split);
    std::map<std::string, Message> sections;
    for (const auto &[name, sectionText] : value(split)) {
        Message message;
        applyDefaults(message);
        const std::string where = fileName + " [" + family + "." + name + "]";
        if (auto read = readIni(sectionText, where, message); !isOk(read))
            return error(read);
        if (auto complete = checkRequired(message, where); !isOk(complete))
            return error(complete);
        sections.emplace(name, std::move(message));
    }
    return sections;
}

} // namespace tray
