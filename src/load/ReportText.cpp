#include "load/ReportText.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <google/protobuf/util/json_util.h>

namespace tray {

namespace {

void addRow(std::string &text, const proto::LoadGroup &group)
{
    text +=
        fmt::format("{:<24} {:>8} {:>8} {:>8} {:>9.2f}% {:>9.1f} {:>9.1f} {:>9.1f} {:>9.1f}\n",
                    group.name(), group.sent(), group.answered(), group.attained(),
                    100 * group.attainment(), group.latency().p50_ms(), group.latency().p99_ms(),
                    group.first_token().p50_ms(), group.first_token().p95_ms());
}

template <typename Map>
void addCounts(std::string &text, const std::string &title, const Map &counts)
{
    if (counts.empty())
        return;
    text += title + ":";
    std::map<std::string, double> sorted;
    for (const auto &[name, count] : counts)
        sorted[name] = static_cast<double>(count);
    for (const auto &[name, count] : sorted)
        text += fmt::format(" {}={:.0f}", name, count);
    text += '\n';
}

bool writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
    return file.good();
}

} // namespace

std::string reportTable(const proto::LoadReport &report)
{
    std::string text = fmt::format(
        "scenario {} seed {} duration {:.0f} s\n{:<24} {:>8} {:>8} {:>8} {:>10} {:>9} {:>9} {:>9} "
        "{:>9}\n",
        report.name(), report.seed(), report.duration_s(), "group", "sent", "answered", "attained",
        "attainment", "p50 ms", "p99 ms", "first p50", "first p95");
    addRow(text, report.total());
    for (const auto &group : report.tiers()) {
        auto row = group;
        row.set_name("tier " + group.name());
        addRow(text, row);
    }
    for (const auto &group : report.flows())
        addRow(text, group);
    addCounts(text, "failures", report.total().failures());
    addCounts(text, "ran", report.total().ran());
    addCounts(text, "counters", report.counters());
    addCounts(text, "upstreams", report.upstreams());
    text += fmt::format("attained per accelerator: {:.1f}\nsend lag p99: {:.2f} ms\n",
                        report.attained_per_accelerator(), report.send_lag_p99_ms());
    return text;
}

std::string reportJson(const proto::LoadReport &report)
{
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string json;
    [[maybe_unused]] const auto status =
        google::protobuf::util::MessageToJsonString(report, &json, options);
    return json;
}

Result<Unit> writeReport(const proto::LoadReport &report, const std::string &prefix)
{
    const std::filesystem::path path(prefix);
    std::error_code code;
    if (path.has_parent_path())
        std::filesystem::create_directories(path.parent_path(), code);
    if (!writeFile(prefix + ".json", reportJson(report)) ||
        !writeFile(prefix + ".svg", reportSvg(report)))
        return Error{ErrorKind::Internal, prefix + ": the report cannot be written"};
    return Unit{};
}

} // namespace tray
