// Implements `trayctl timeline`: shows the events of all processes, ordered by their hybrid logical
// clocks.
#pragma once

#include "ctl/CtlSession.h"

#include "control.pb.h"

#include <string>
#include <vector>

namespace tray {

/// Events of all processes, from the lowest to the highest hybrid clock.
struct Timeline
{
    std::vector<proto::TimelineEvent> events;
    /// Processes that did not answer.
    std::vector<std::string> unresponsive;
};

/// Collects the events about a subject from all instances that the process of --entry knows. An
/// empty subject selects all events.
Result<Timeline> collectTimeline(CtlSession &session, const std::string &subject);
/// Sorts the events by hybrid clock, then by process and position.
void sortTimeline(Timeline &timeline);
/// Returns one line for each event and for each process that did not answer.
std::string timelineText(const Timeline &timeline);
/// Returns an HTML page with one lane for each process and without references to other files.
std::string timelineHtml(const Timeline &timeline);

} // namespace tray
