// Checks of a whole configuration: references, values, and room for the minimum replicas.
#pragma once

#include "base/Result.h"
#include "catalogue/Catalogue.h"
#include "catalogue/TicketBoard.h"

#include <vector>

namespace tray {

/// Checks that each name that an object refers to exists. Fails with TicketRefused and names both.
Result<Unit> checkReferences(const Catalogue &catalogue);

/// Memory that a resident replica of a model needs at least: weights, its adapters and the KV of
/// one full context, in bytes.
uint64_t replicaBytes(const Catalogue &catalogue, const std::string &modelName,
                      const proto::Model &model);

/// Checks that the minimum replicas of all models fit into the engines, no engine holding two
/// replicas of one model, by first-fit decreasing. Fails with TicketRefused and names the model
/// that found no room. Pools without engines are left out: their sizes are not known yet.
Result<Unit> checkRoom(const Catalogue &catalogue, const std::vector<EngineRoom> &engines);

} // namespace tray
