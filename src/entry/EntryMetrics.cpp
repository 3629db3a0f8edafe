// Registers the metrics of an entry instance under their names.
#include "entry/EntryMetrics.h"

namespace tray {

EntryMetrics::EntryMetrics(Metrics &metrics)
    : registry(metrics), requests(metrics.counter("tray_entry_requests_total")),
      attempts(metrics.counter("tray_entry_attempts_total")),
      retries(metrics.counter("tray_entry_retries_total")),
      retriesDenied(metrics.counter("tray_entry_retries_denied_total")),
      resumes(metrics.counter("tray_entry_resumes_total")),
      droppedFrames(metrics.counter("tray_entry_dropped_frames_total")),
      abortedStreams(metrics.counter("tray_entry_aborted_streams_total")),
      replayedAnswers(metrics.counter("tray_entry_replayed_answers_total")),
      linkBytes(metrics.counter("tray_entry_link_bytes_total")),
      routeTime(metrics.histogram("tray_entry_route_ms"))
{}

void EntryMetrics::countAnswer(std::string_view tier, bool attained, Duration latency)
{
    const auto labels = "tier=\"" + std::string(tier) + "\"";
    this->registry.counter("tray_entry_answers_total", labels).add();
    if (attained)
        this->registry.counter("tray_entry_attained_total", labels).add();
    this->registry.histogram("tray_entry_latency_ms", labels).add(latency);
}

void EntryMetrics::countError(std::string_view tier, ErrorKind kind)
{
    this->registry
        .counter("tray_entry_errors_total",
                 "tier=\"" + std::string(tier) + "\",kind=\"" + std::string(enumName(kind)) + "\"")
        .add();
}

} // namespace tray
