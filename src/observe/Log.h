// Set-up of the structured log on standard error. Lines consist of key=value pairs and are written
// only when a state changes.
#pragma once

#include <spdlog/spdlog.h>
#include <string>

namespace tray {

/// Sets up the logger of the process on standard error. The level is a level name of spdlog.
void setUpLog(const std::string &process, const std::string &level);

} // namespace tray
