// Forms of a load report for people and files: table, JSON and SVG plot.
#pragma once

#include "base/Result.h"

#include "load_report.pb.h"

#include <string>

namespace tray {

/// Table for the terminal.
std::string reportTable(const proto::LoadReport &report);

/// JSON with the field names of the schema.
std::string reportJson(const proto::LoadReport &report);

/// Plot of attainment by tier and of latency percentiles over time.
std::string reportSvg(const proto::LoadReport &report);

/// Writes PREFIX.json and PREFIX.svg, and creates their directory. Fails with Internal.
Result<Unit> writeReport(const proto::LoadReport &report, const std::string &prefix);

} // namespace tray
