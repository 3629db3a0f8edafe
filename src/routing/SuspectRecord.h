// Text of the record in the store that keeps the confirmed suspects while no gateway runs.
#pragma once

#include "base/Time.h"

#include "suspects.pb.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tray {

/// Returns the text of a record of these suspects, without their upstreams. Suspects expire at a
/// wall-clock time in it, as no other clock outlasts the machines.
std::string formatSuspectRecord(const std::vector<proto::Suspect> &suspects, WallMs wall);
/// Returns the suspects in a record that have not expired, or nothing if it is malformed.
std::optional<proto::SuspectReport> parseSuspectRecord(std::string_view text, WallMs wall);

} // namespace tray
