// Reads settings from INI text into a protobuf message. Default, range and format of a setting are
// options of its field in the schema, so that this code does not contain names of settings.
#pragma once

#include "base/Result.h"

#include <google/protobuf/message.h>
#include <string>
#include <vector>

namespace tray {

/// Sets every setting that has a default to it. The message has one field per section.
void applyDefaults(google::protobuf::Message &settings);

/// Reads INI text; its values replace those in the message. Fails with InvalidSettings, whose
/// message names file, line, key and accepted range. An unknown section is an error too, unless its
/// name up to the first dot is in ignoredFamilies.
Result<Unit> readIni(const std::string &text, const std::string &fileName,
                     google::protobuf::Message &settings,
                     const std::vector<std::string> &ignoredFamilies = {});

/// Sets the value of a setting given as "section.key=value" on the command line. Fails with
/// InvalidSettings.
Result<Unit> applyOverride(const std::string &assignment, google::protobuf::Message &settings);

/// Checks that no required setting is empty. Fails with InvalidSettings.
Result<Unit> checkRequired(const google::protobuf::Message &settings, const std::string &fileName);

/// Returns all settings of a message as a Markdown table, for docs/CONFIGURATION.md.
std::string settingsTable(const google::protobuf::Message &settings);

} // namespace tray
