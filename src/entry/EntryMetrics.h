// Counters and histograms of an entry instance.
#pragma once

#include "base/ErrorKind.h"
#include "observe/Metrics.h"

#include <string_view>

namespace tray {

/// References to the metrics that are updated for each request, which saves look-ups by name.
struct EntryMetrics
{
    explicit EntryMetrics(Metrics &metrics);

    /// Counts a final answer of a tier. It is attained if it was complete within the tier's
    /// deadline.
    void countAnswer(std::string_view tier, bool attained, Duration latency);
    /// Counts an error answer; the tier is empty if it is not known.
    void countError(std::string_view tier, ErrorKind kind);

    Metrics &registry;
    Counter &requests;
    Counter &attempts;
    Counter &retries;
    Counter &retriesDenied;
    Counter &resumes;
    Counter &droppedFrames;
    Counter &abortedStreams;
    Counter &replayedAnswers;
    Counter &linkBytes;
    /// Time from the arrival of a request to its first dispatch.
    LatencyHistogram &routeTime;
};

} // namespace tray
