#include "ctl/Timeline.h"

#include "ctl/Output.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <tuple>

namespace tray {

namespace {

// Number of low bits of a hybrid clock that hold its counter; the bits above hold the wall time in
// ms.
constexpr int ClockCounterBits = 16;
constexpr int LaneHeight = 24;
constexpr int LaneWidth = 1000;
constexpr int LabelWidth = 160;

uint64_t wallMsOf(const proto::TimelineEvent &event)
{
    return event.clock() >> ClockCounterBits;
}

std::string clockText(const proto::TimelineEvent &event)
{
    const uint64_t ms = wallMsOf(event);
    const uint64_t second = ms / 1000;
    return fmt::format("{:02}:{:02}:{:02}.{:03}", second / 3600 % 24, second / 60 % 60, second % 60,
                       ms % 1000);
}

std::string escapeHtml(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

/// Reads all events in the ring buffer of a process. Returns false if the process does not answer.
bool readEvents(CtlSession &session, const Address &peer, std::vector<proto::TimelineEvent> &events)
{
    uint64_t after = 0;
    while (true) {
        proto::ControlRequest request;
        request.mutable_events()->set_after(after);
        const auto reply = session.sendRequest(peer, request);
        if (!isOk(reply))
            return false;
        const auto &page = value(reply).events();
        events.insert(events.end(), page.events().begin(), page.events().end());
        if (page.events().empty() || page.next() <= after)
            return true;
        after = page.next();
    }
}

std::string drawLanes(const Timeline &timeline)
{
    std::map<std::string, size_t> rows;
    for (const auto &event : timeline.events)
        rows.try_emplace(event.process(), 0);
    size_t next = 0;
    for (auto &[process, row] : rows)
        row = next++;
    const uint64_t first = wallMsOf(timeline.events.front());
    const uint64_t span = std::max<uint64_t>(wallMsOf(timeline.events.back()) - first, 1);
    std::string svg = fmt::format("<svg viewBox=\"0 0 {} {}\" role=\"img\">\n",
                                  LabelWidth + LaneWidth + 20, rows.size() * LaneHeight);
    for (const auto &[process, row] : rows) {
        const auto y = row * LaneHeight + LaneHeight / 2;
        svg += fmt::format("<text x=\"0\" y=\"{}\">{}</text><line x1=\"{}\" y1=\"{}\" x2=\"{}\" "
                           "y2=\"{}\"/>\n",
                           y + 4, escapeHtml(process), LabelWidth, y, LabelWidth + LaneWidth, y);
    }
    for (const auto &event : timeline.events) {
        const auto x = LabelWidth + (wallMsOf(event) - first) * LaneWidth / span;
        svg += fmt::format("<circle cx=\"{}\" cy=\"{}\" r=\"4\"><title>{} {} {} {}</title>"
                           "</circle>\n",
                           x, rows[event.process()] * LaneHeight + LaneHeight / 2, clockText(event),
                           escapeHtml(event.kind()), escapeHtml(event.subject()),
                           escapeHtml(event.text()));
    }
    return svg + "</svg>\n";
}

} // namespace

Result<Timeline> collectTimeline(CtlSession &session, const std::string &subject)
{
    const auto systemStatus = session.readStatus();
    if (!isOk(systemStatus))
        return error(systemStatus);
    Timeline timeline;
    for (const auto &instance : value(systemStatus).instances().instances()) {
        const auto address = parseAddress(instance.control_address());
        if (!isOk(address) || !readEvents(session, value(address), timeline.events))
            timeline.unresponsive.push_back(instance.id());
    }
    std::erase_if(timeline.events, [&](const auto &event) {
        return !subject.empty() && event.subject() != subject;
    });
    sortTimeline(timeline);
    return timeline;
}

void sortTimeline(Timeline &timeline)
{
    const auto sortKey = [](const proto::TimelineEvent &event) {
        return std::make_tuple(event.clock(), event.process(), event.position());
    };
    std::sort(timeline.events.begin(), timeline.events.end(),
              [&](const auto &left, const auto &right) { return sortKey(left) < sortKey(right); });
}

std::string timelineText(const Timeline &timeline)
{
    std::string out;
    for (const auto &event : timeline.events)
        out += fmt::format("{} {} {} {} {}\n", clockText(event), event.process(), event.kind(),
                           event.subject(), event.text());
    for (const auto &process : timeline.unresponsive)
        out += fmt::format("no answer from {}\n", process);
    return out;
}

std::string timelineHtml(const Timeline &timeline)
{
    std::string page =
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Time "
        "line</title>\n"
        "<style>body{font:14px sans-serif;margin:1em}svg{width:100%;font:12px sans-serif}"
        "line{stroke:#bbb}circle{fill:#2a6fbb}td,th{text-align:left;padding:2px 12px 2px 0}"
        "</style></head><body>\n<h1>Time line</h1>\n";
    if (!timeline.events.empty())
        page += drawLanes(timeline);
    for (const auto &process : timeline.unresponsive)
        page += "<p>No answer from " + escapeHtml(process) + ".</p>\n";
    page += "<table><tr><th>Time (UTC)</th><th>Process</th><th>Kind</th><th>Subject</th>"
            "<th>Text</th></tr>\n";
    for (const auto &event : timeline.events)
        page += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
                            clockText(event), escapeHtml(event.process()), escapeHtml(event.kind()),
                            escapeHtml(event.subject()), escapeHtml(event.text()));
    return page + "</table>\n</body></html>\n";
}

} // namespace tray
