// Aggregates the samples of a run into its report: counts, latency percentiles and a time series.
#pragma once

#include "load/Sample.h"
#include "load/Scenario.h"

#include "load_report.pb.h"

#include <map>
#include <vector>

namespace tray {

/// Value of each [counter.NAME] at one time.
using CounterValues = std::map<std::string, double>;

/// Whether the request was answered within the latency targets of its flow.
bool isAttained(const Sample &sample, const proto::LoadFlowSection &flow);

/// Builds the report. Samples whose intended time is before the end of the warm-up are counted only
/// in the time series. Counters are reported as the increase from initialCounters to finalCounters.
proto::LoadReport buildReport(const Scenario &scenario, const std::vector<Sample> &samples,
                              const CounterValues &initialCounters,
                              const CounterValues &finalCounters);

/// Returns the sum of a metric over all its label values in a page of the Prometheus text format.
double sumMetric(const std::string &page, const std::string &metric);

} // namespace tray
