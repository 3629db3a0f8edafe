// Parses the command line and checks the settings file of the fleet's programs.
#include "fleet/InstanceProgram.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <spdlog/spdlog.h>
#include <sstream>

namespace tray {

namespace {

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;

Result<InstanceSettings> readSettingsFile(const std::string &file, const SettingsFormat &format)
{
    std::ifstream input(file);
    if (!input)
        return Error{ErrorKind::InvalidSettings, "the file cannot be read"};
    std::ostringstream text;
    text << input.rdbuf();
    return format.decode(text.str());
}

} // namespace

std::variant<LoadedSettings, int> parseCommandLine(int argc, char **argv,
                                                   const std::string &program,
                                                   const std::string &description,
                                                   const SettingsFormat &format)
{
    CLI::App app{description, program};
    const char *fromEnvironment = std::getenv(format.fileVariable);
    std::string file = fromEnvironment == nullptr ? "" : fromEnvironment;
    bool checkOnly = false;
    app.set_version_flag("--version", program + " " TRAY_VERSION);
    app.add_option("--config", file,
                   std::string("Settings file; default is the value of ") + format.fileVariable);
    app.add_flag("--check-config", checkOnly, "Checks the settings and ends");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &failure) {
        return app.exit(failure) == 0 ? ExitOk : ExitUsage;
    }
    auto settings = readSettingsFile(file, format);
    if (!isOk(settings)) {
        std::cerr << program << ": " << file << ": " << error(settings).message << '\n';
        return ExitUsage;
    }
    if (checkOnly) {
        std::cout << program << ": settings are valid\n";
        return ExitOk;
    }
    return LoadedSettings{value(std::move(settings)), file};
}

void checkReloadedSettings(const std::string &file, const SettingsFormat &format)
{
    const auto settings = readSettingsFile(file, format);
    if (isOk(settings))
        spdlog::info("event=reload file={} outcome=valid", file);
    else
        spdlog::warn("event=reload file={} outcome=refused reason={:?}", file,
                     error(settings).message);
}

} // namespace tray
