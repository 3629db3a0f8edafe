// `trayctl timeline`: events of all processes in the order of their hybrid clocks.
#pragma once

#include "ctl/CtlSession.h"

#include "control.pb.h"

#include <string>
#include <vector>

namespace tray {

/// Events of all processes, oldest first.
struct Timeline
{
    std::vector<proto::TimelineEvent> events;
    /// Processes that did not answer.
    std::vector<std::string> silent;
};

/// Collects the events of all instances that the process of --entry knows. An empty subject takes
/// all events.
Result<Timeline> collectTimeline(CtlSession &session, const std::string &subject);
/// Order of the hybrid clocks, then of process and position.
void sortTimeline(Timeline &timeline);
std::string timelineText(const Timeline &timeline);
/// Page with one lane for each process, without outside references.
std::string timelineHtml(const Timeline &timeline);

} // namespace tray
