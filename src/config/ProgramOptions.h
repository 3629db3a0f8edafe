// Command line options that all programs with a settings file have in common: --config, --set,
// --check-config, --settings-table, --help and --version.
#pragma once

#include <google/protobuf/message.h>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Exit statuses that all programs have in common.
enum ExitStatus {
    ExitOk = 0,
    /// The operation was refused or failed.
    ExitFailure = 1,
    /// The command line or the settings are invalid.
    ExitUsage = 2,
};

/// Parses the command line and reads the settings. Returns an exit status if the program is to exit
/// now, after the requested output or an error message was printed; nothing if the settings are
/// complete and the program is to run. Sections whose family is in ignoredFamilies are skipped; the
/// caller reads them from the text of the settings file, which is stored in fileText if that is not
/// null.
std::optional<int> readProgramOptions(int argc, char **argv, const std::string &program,
                                      const std::string &description,
                                      google::protobuf::Message &settings,
                                      const std::vector<std::string> &ignoredFamilies = {},
                                      std::string *fileText = nullptr);

} // namespace tray
