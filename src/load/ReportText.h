// Formats a load report as a table, as JSON and as an SVG plot.
#pragma once

#include "base/Result.h"

#include "load_report.pb.h"

#include <string>

namespace tray {

/// Returns a table for the terminal.
std::string reportTable(const proto::LoadReport &report);

/// Returns the report as JSON with the field names of the schema.
std::string reportJson(const proto::LoadReport &report);

/// Returns an SVG plot of attainment by tier and of latency percentiles over time.
std::string reportSvg(const proto::LoadReport &report);

/// Writes the files PREFIX.json and PREFIX.svg and creates their directory if it is missing. Fails
/// with Internal.
Result<Unit> writeReport(const proto::LoadReport &report, const std::string &prefix);

} // namespace tray
