// The program check-fleet-config: checks a configuration in a file before it is sent.
#pragma once

#include "fleet/ConfigCheck.h"

#include <iosfwd>
#include <string>

namespace tray {

enum class FleetCheckFormat { Table, Json };

struct FleetCheckOptions
{
    /// File with the configuration.
    std::string file;
    /// File with the version that it replaces; empty if there is none.
    std::string previousFile;
    FleetCheckFormat format = FleetCheckFormat::Table;
    /// File with the instance list, against which attempts are checked; empty if there is none.
    std::string upstreamFile;
};

/// Exit statuses of the program.
constexpr int FleetCheckClean = 0;
constexpr int FleetCheckFindings = 1;
constexpr int FleetCheckUnreadable = 2;

/// Line and field of a configuration file.
struct ConfigLocation
{
    /// From 1.
    size_t line = 1;
    /// Name of the field in the format of the file; empty if no field is concerned.
    std::string field;
};

/// Format of configuration files.
class FleetConfigFormat
{
public:
    virtual ~FleetConfigFormat() = default;

    virtual Result<FleetConfig> decode(const std::string &text) const = 0;
    /// Counts the upstreams of an instance list that take requests.
    virtual Result<UpstreamCounts> countUpstreams(const std::string &text) const = 0;
    /// Finds the place of a decoded configuration in the text that it comes from.
    virtual ConfigLocation locate(const std::string &text, const ConfigPlace &place) const = 0;
    /// Finds the cause of an error of decode() or countUpstreams() in the text.
    virtual ConfigLocation locate(const std::string &text, const Error &error) const = 0;
};

/// Checks the configuration and prints the findings, each with file, line and field. Changes that
/// are harmless for callers are printed last and do not count as findings. Returns the exit status.
int checkFleetConfig(const FleetCheckOptions &options, const FleetConfigFormat &format,
                     std::ostream &out, std::ostream &errors);

} // namespace tray
