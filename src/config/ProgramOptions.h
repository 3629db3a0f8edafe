// Command line that all programs with settings share: --config, --set, --check-config, --help,
// --version.
#pragma once

#include <google/protobuf/message.h>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Exit statuses of all programs.
enum ExitStatus {
    ExitOk = 0,
    /// The work was refused or did not succeed.
    ExitFailure = 1,
    /// Wrong command line or settings.
    ExitUsage = 2,
};

/// Reads command line and settings. Returns an exit status if the program should end now, after it
/// has printed what was asked for or what is wrong; nothing if the settings are complete and the
/// program should run. Sections of the file named in foreignSections are left to the caller.
std::optional<int> readProgramOptions(int argc, char **argv, const std::string &program,
                                      const std::string &description,
                                      google::protobuf::Message &settings,
                                      const std::vector<std::string> &foreignSections = {},
                                      std::string *fileText = nullptr);

} // namespace tray
