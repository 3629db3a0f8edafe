// Reads configurations from files and prints what their check finds.
#include "fleet/FleetCheck.h"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <fstream>
#include <optional>
#include <ostream>
#include <sstream>

namespace tray {

namespace {

namespace json = boost::json;

/// A configuration with the file and the text that it comes from.
struct ConfigFile
{
    std::string name;
    std::string text;
    FleetConfig config;
};

/// Reads a file; prints an error and returns nullopt if that fails.
std::optional<std::string> readText(const std::string &name, std::ostream &errors)
{
    std::ifstream input(name);
    std::ostringstream text;
    if (!input || !(text << input.rdbuf())) {
        errors << name << ": the file cannot be read\n";
        return std::nullopt;
    }
    return text.str();
}

void printError(const std::string &file, const std::string &text, const FleetConfigFormat &format,
                const Error &problem, std::ostream &errors)
{
    const auto location = format.locate(text, problem);
    errors << fmt::format("{}:{}: {}{}{}\n", file, location.line, location.field,
                          location.field.empty() ? "" : ": ", problem.message);
}

/// Reads a file; prints an error and returns nullopt if it holds no configuration.
std::optional<ConfigFile> readConfigFile(const std::string &name, const FleetConfigFormat &format,
                                         std::ostream &errors)
{
    auto text = readText(name, errors);
    if (!text)
        return std::nullopt;
    auto config = format.decode(*text);
    if (!isOk(config)) {
        printError(name, *text, format, error(config), errors);
        return std::nullopt;
    }
    return ConfigFile{name, std::move(*text), value(std::move(config))};
}

/// Reads a file; prints an error and returns nullopt if it holds no instance list.
std::optional<UpstreamCounts>
readUpstreamCounts(const std::string &name, const FleetConfigFormat &format, std::ostream &errors)
{
    const auto text = readText(name, errors);
    if (!text)
        return std::nullopt;
    auto counts = format.countUpstreams(*text);
    if (!isOk(counts)) {
        printError(name, *text, format, error(counts), errors);
        return std::nullopt;
    }
    return value(std::move(counts));
}

/// A finding as it is printed.
struct FindingRow
{
    std::string file;
    ConfigLocation location;
    ConfigFinding finding;
};

void printTable(const std::vector<FindingRow> &rows, std::ostream &out)
{
    std::vector<std::array<std::string, 5>> table;
    std::array<size_t, 5> widths = {};
    for (const auto &row : rows) {
        table.push_back({fmt::format("{}:{}", row.file, row.location.line),
                         std::string(enumName(row.finding.kind)), row.finding.subject,
                         row.location.field, row.finding.detail});
        for (size_t i = 0; i < widths.size(); ++i)
            widths[i] = std::max(widths[i], table.back()[i].size());
    }
    for (const auto &cells : table) {
        for (size_t i = 0; i + 1 < widths.size(); ++i)
            out << fmt::format("{:{}}  ", cells[i], widths[i]);
        out << cells.back() << '\n';
    }
}

void printJson(const std::vector<FindingRow> &rows, std::ostream &out)
{
    json::array list;
    for (const auto &row : rows)
        list.push_back({{"file", row.file},
                        {"line", row.location.line},
                        {"field", row.location.field},
                        {"finding", enumName(row.finding.kind)},
                        {"harmless", isHarmless(row.finding.kind)},
                        {"subject", row.finding.subject},
                        {"detail", row.finding.detail}});
    out << json::serialize(list) << '\n';
}

} // namespace

int checkFleetConfig(const FleetCheckOptions &options, const FleetConfigFormat &format,
                     std::ostream &out, std::ostream &errors)
{
    const auto current = readConfigFile(options.file, format, errors);
    if (!current)
        return FleetCheckUnreadable;
    std::optional<ConfigFile> previous;
    auto findings = checkConfig(current->config);
    size_t harmless = 0;
    if (!options.upstreamFile.empty()) {
        const auto counts = readUpstreamCounts(options.upstreamFile, format, errors);
        if (!counts)
            return FleetCheckUnreadable;
        const auto excessive = checkAttempts(current->config, *counts);
        findings.insert(findings.end(), excessive.begin(), excessive.end());
    }
    if (!options.previousFile.empty()) {
        previous = readConfigFile(options.previousFile, format, errors);
        if (!previous)
            return FleetCheckUnreadable;
        const auto lost = compareConfigs(previous->config, current->config);
        findings.insert(findings.end(), lost.begin(), lost.end());
        const auto others = findHarmlessChanges(previous->config, current->config);
        findings.insert(findings.end(), others.begin(), others.end());
        harmless = others.size();
    }
    std::vector<FindingRow> rows;
    for (const auto &finding : findings) {
        const auto &file = finding.place.isEarlier ? *previous : *current;
        rows.push_back({file.name, format.locate(file.text, finding.place), finding});
    }
    (options.format == FleetCheckFormat::Json ? printJson : printTable)(rows, out);
    return findings.size() == harmless ? FleetCheckClean : FleetCheckFindings;
}

} // namespace tray
