// Set-up of structured logs. Lines are written as key=value and only on a change of state.
#pragma once

#include <spdlog/spdlog.h>
#include <string>

namespace tray {

/// Sets up the process's logger on standard error; level is a name that spdlog knows.
void setUpLog(const std::string &process, const std::string &level);

} // namespace tray
