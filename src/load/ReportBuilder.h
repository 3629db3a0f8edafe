// Turns the samples of a run into its report.
#pragma once

#include "load/Sample.h"
#include "load/Scenario.h"

#include "load_report.pb.h"

#include <map>
#include <vector>

namespace tray {

/// Values of each [counter.NAME] at one moment.
using CounterValues = std::map<std::string, double>;

/// True if the answer came within the expectations of its flow.
bool isAttained(const Sample &sample, const proto::LoadFlowSection &flow);

/// Builds the report; samples intended before the end of the warm-up count in the time series only.
proto::LoadReport buildReport(const Scenario &scenario, const std::vector<Sample> &samples,
                              const CounterValues &before, const CounterValues &after);

/// Sum of a metric over all its labels in a page of the Prometheus text format.
double sumOfMetric(const std::string &page, const std::string &metric);

} // namespace tray
