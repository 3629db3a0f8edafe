// Draws the SVG plot of a load report: attainment by tier in the upper panel, latency percentiles
// in the lower one.
#include "load/ReportText.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <set>

namespace tray {

namespace {

constexpr double Width = 900;
constexpr double PanelHeight = 220;
constexpr double Margin = 60;
constexpr std::array<const char *, 6> Colours = {"#1b6ca8", "#c0392b", "#2e8b57",
                                                 "#8e44ad", "#d68910", "#555555"};

/// One curve of a panel. The function returns NaN for an interval in which the curve has no point.
struct Curve
{
    std::string name;
    std::function<double(const proto::LoadInterval &)> value;
};

/// One diagram of the plot, with the time in s on its x axis and values from 0 to maxValue on its y
/// axis.
struct Panel
{
    std::string title;
    double top;
    double maxValue;
    std::vector<Curve> curves;
};

void drawPanel(std::string &svg, const Panel &panel, const proto::LoadReport &report)
{
    const double bottom = panel.top + PanelHeight;
    const double seconds = std::max(1.0, report.duration_s());
    const auto x = [&](double second) {
        return Margin + (Width - 2 * Margin) * std::min(1.0, second / seconds);
    };
    svg += fmt::format("<rect x='{}' y='{}' width='{}' height='{}' fill='none' stroke='#999'/>\n"
                       "<text x='{}' y='{}'>{}</text>\n<text x='4' y='{}'>{:.0f}</text>\n"
                       "<text x='4' y='{}'>0</text>\n",
                       Margin, panel.top, Width - 2 * Margin, PanelHeight, Margin, panel.top - 8,
                       panel.title, panel.top + 10, panel.maxValue, bottom);
    for (size_t i = 0; i < panel.curves.size(); ++i) {
        const char *colour = Colours[i % Colours.size()];
        std::string points;
        for (const auto &interval : report.intervals()) {
            const double number = panel.curves[i].value(interval);
            if (!std::isnan(number))
                points +=
                    fmt::format("{:.1f},{:.1f} ", x(interval.start_s()),
                                bottom - PanelHeight * std::min(1.0, number / panel.maxValue));
        }
        svg += fmt::format("<polyline points='{}' fill='none' stroke='{}' stroke-width='1.5'/>\n"
                           "<text x='{}' y='{}' fill='{}'>{}</text>\n",
                           points, colour, Width - Margin + 4, panel.top + 14 + 14 * double(i),
                           colour, panel.curves[i].name);
    }
    svg += fmt::format("<text x='{}' y='{}'>{:.0f} s</text>\n", Width - Margin - 30, bottom + 14,
                       seconds);
}

Panel attainmentPanel(const proto::LoadReport &report)
{
    Panel panel{"attainment by tier, %", 40, 100, {}};
    for (const auto &tier : report.tiers()) {
        const std::string &name = tier.name();
        panel.curves.push_back({name, [name](const proto::LoadInterval &interval) {
                                    const auto found = interval.attainment_by_tier().find(name);
                                    return found == interval.attainment_by_tier().end()
                                               ? std::nan("")
                                               : 100 * found->second;
                                }});
    }
    return panel;
}

Panel latencyPanel(const proto::LoadReport &report)
{
    double maxValue = 1;
    for (const auto &interval : report.intervals())
        maxValue = std::max(maxValue, interval.p99_ms());
    Panel panel{"latency, ms", 40 + PanelHeight + 60, maxValue, {}};
    const auto ifAnswered = [](const proto::LoadInterval &interval, double ms) {
        return interval.answered() == 0 ? std::nan("") : ms;
    };
    panel.curves.push_back({"p50", [ifAnswered](const proto::LoadInterval &interval) {
                                return ifAnswered(interval, interval.p50_ms());
                            }});
    panel.curves.push_back({"p99", [ifAnswered](const proto::LoadInterval &interval) {
                                return ifAnswered(interval, interval.p99_ms());
                            }});
    return panel;
}

} // namespace

std::string reportSvg(const proto::LoadReport &report)
{
    std::string svg =
        fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
                    "font-family='sans-serif' font-size='11'>\n"
                    "<rect width='100%' height='100%' fill='white'/>\n"
                    "<text x='{}' y='16' font-size='14'>{}, seed {}</text>\n",
                    Width, 2 * PanelHeight + 140, Margin, report.name(), report.seed());
    drawPanel(svg, attainmentPanel(report), report);
    drawPanel(svg, latencyPanel(report), report);
    return svg + "</svg>\n";
}

} // namespace tray
