// Reads families of sections: a settings file may have several sections of a family, such as
// [flow.NAME], each under a name of its own.
#pragma once

#include "config/SettingsReader.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tray {

/// Returns the INI text of each section of a family by the name after the dot. In the text, the
/// head of the section is [FAMILY] without the name. Fails with InvalidSettings.
Result<std::map<std::string, std::string>>
splitFamily(const std::string &text, const std::string &fileName, const std::string &family);

/// Reads each section of a family into a message, applies the defaults and checks that the required
/// settings are present. Fails with InvalidSettings.
template <typename Message>
Result<std::map<std::string, Message>>
readFamily(const std::string &text, const std::string &fileName, const std::string &family)
{
    auto sectionTexts = splitFamily(text, fileName, family);
    if (!isOk(sectionTexts))
        return error(sectionTexts);
    std::map<std::string, Message> sections;
    for (const auto &[name, sectionText] : value(sectionTexts)) {
        Message message;
        applyDefaults(message);
        const std::string where = fileName + " [" + family + "." + name + "]";
        if (auto read = readIni(sectionText, where, message); !isOk(read))
            return error(read);
        if (auto checked = checkRequired(message, where); !isOk(checked))
            return error(checked);
        sections.emplace(name, std::move(message));
    }
    return sections;
}

} // namespace tray
