// Command line and settings file of the programs of the fleet. The format of the file is up to a
// decoder.
#pragma once

#include "base/Result.h"
#include "fleet/InstanceSettings.h"

#include <string>
#include <variant>

namespace tray {

/// TCP port of the metrics page on the instance's address; equal to the one in deploy/system.toml.
constexpr uint16_t MetricsPort = 9464;

/// How a settings file is found and read.
struct SettingsFormat
{
    /// Name of the environment variable that holds the path of the file.
    const char *fileVariable = nullptr;
    /// Decodes the text of the file. Fails with InvalidSettings.
    Result<InstanceSettings> (*decode)(const std::string &text) = nullptr;
};

/// Settings with which a program starts.
struct LoadedSettings
{
    InstanceSettings settings;
    /// Path of the file that the settings were read from.
    std::string file;
};

/// Parses the command line and reads the settings file of a program. Returns an exit status if the
/// program must end immediately: help, version, the result of a check or an error was printed.
std::variant<LoadedSettings, int> parseCommandLine(int argc, char **argv,
                                                   const std::string &program,
                                                   const std::string &description,
                                                   const SettingsFormat &format);

/// Reads the settings file again after a reload signal and logs whether it is valid. New settings
/// take effect with the next start, since addresses and limits are fixed while a process runs.
void checkReloadedSettings(const std::string &file, const SettingsFormat &format);

} // namespace tray
