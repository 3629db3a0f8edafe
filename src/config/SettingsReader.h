// Reads settings from INI text into a settings message. Rules (default, range, format) are options
// of the message's fields, so that this code knows no setting by name.
#pragma once

#include "base/Result.h"

#include <google/protobuf/message.h>
#include <string>
#include <vector>

namespace tray {

/// Fills every setting that has a default. The message has one field per section.
void applyDefaults(google::protobuf::Message &settings);

/// Reads INI text over the present values.
/// Fails with InvalidSettings that names file, line, key and accepted range. A section that is not
/// known fails too, unless it stands in foreignSections.
Result<Unit> readIni(const std::string &text, const std::string &fileName,
                     google::protobuf::Message &settings,
                     const std::vector<std::string> &foreignSections = {});

/// Sets one value given as "section.key=value" on the command line.
Result<Unit> applyOverride(const std::string &assignment, google::protobuf::Message &settings);

/// Checks that all required settings are there.
Result<Unit> checkRequired(const google::protobuf::Message &settings, const std::string &fileName);

/// Markdown table of all settings of a message, for docs/CONFIGURATION.md.
std::string settingsTable(const google::protobuf::Message &settings);

} // namespace tray
