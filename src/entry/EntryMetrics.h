// Counters and histograms of an entry instance.
#pragma once

#include "base/ErrorKind.h"
#include "observe/Metrics.h"

#include <string_view>

namespace tray {

/// References to the metrics that the request path touches, so that it looks up no names.
struct EntryMetrics
{
    explicit EntryMetrics(Metrics &metrics);

    /// Counts a final answer of a tier. Attained: a whole answer within the tier's deadline.
    void countAnswer(std::string_view tier, bool attained, Duration latency);
    /// Counts an error answer.
    void countError(std::string_view tier, ErrorKind kind);

    Metrics &all;
    Counter &requests;
    Counter &attempts;
    Counter &retries;
    Counter &retriesDenied;
    Counter &resumes;
    Counter &droppedFrames;
    Counter &abortedStreams;
    Counter &replayedAnswers;
    Counter &linkBytes;
    /// Time from a request's arrival to its first dispatch.
    LatencyHistogram &routeTime;
};

} // namespace tray
