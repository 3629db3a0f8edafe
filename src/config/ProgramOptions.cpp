#include "config/ProgramOptions.h"

#include "config/SettingsReader.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace tray {

std::optional<int> readProgramOptions(int argc, char **argv, const std::string &program,
                                      const std::string &description,
                                      google::protobuf::Message &settings,
                                      const std::vector<std::string> &ignoredFamilies,
                                      std::string *fileText)
{
    CLI::App app{description, program};
    std::string configFile;
    std::vector<std::string> overrides;
    bool validateOnly = false;
    bool printTable = false;
    app.set_version_flag("--version", program + " " TRAY_VERSION);
    app.add_option("--config", configFile, "Settings file (INI)");
    app.add_option("--set", overrides, "Overrides one setting: section.key=value")
        ->allow_extra_args(false);
    app.add_flag("--check-config", validateOnly, "Checks the settings and ends");
    app.add_flag("--settings-table", printTable,
                 "Prints all settings as a Markdown table and ends");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &failure) {
        return app.exit(failure) == 0 ? ExitOk : ExitUsage;
    }
    if (printTable) {
        std::cout << settingsTable(settings);
        return ExitOk;
    }
    const auto fail = [&](const Error &problem) {
        std::cerr << program << ": " << problem.message << '\n';
        return ExitUsage;
    };
    applyDefaults(settings);
    const std::string sourceName = configFile.empty() ? "command line" : configFile;
    if (!configFile.empty()) {
        std::ifstream file(configFile);
        if (!file)
            return fail({ErrorKind::InvalidSettings, configFile + ": cannot be read"});
        std::ostringstream text;
        text << file.rdbuf();
        if (fileText != nullptr)
            *fileText = text.str();
        if (auto result = readIni(text.str(), configFile, settings, ignoredFamilies); !isOk(result))
            return fail(error(result));
    }
    for (const auto &assignment : overrides) {
        if (auto result = applyOverride(assignment, settings); !isOk(result))
            return fail(error(result));
    }
    if (auto result = checkRequired(settings, sourceName); !isOk(result))
        return fail(error(result));
    if (validateOnly) {
        std::cout << program << ": settings are valid\n";
        return ExitOk;
    }
    return std::nullopt;
}

} // namespace tray
