// Set-up of the log format: time, level, process name, then the key=value pairs of the line.
#include "observe/Log.h"

#include <spdlog/sinks/stdout_sinks.h>

namespace tray {

void setUpLog(const std::string &process, const std::string &level)
{
    auto logger = std::make_shared<spdlog::logger>(
        process, std::make_shared<spdlog::sinks::stderr_sink_mt>());
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=%n %v",
                        spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

} // namespace tray
