// Checks of a complete configuration: references between objects, and memory for the minimum
// replicas.
#pragma once

#include "base/Result.h"
#include "catalogue/Catalogue.h"
#include "catalogue/TicketBoard.h"

#include <vector>

namespace tray {

/// Checks that each object that another one refers to exists. Fails with TicketRefused and names
/// both.
Result<Unit> checkReferences(const Catalogue &catalogue);

/// Smallest memory that a resident replica of a model needs, in bytes: its weights, its adapters
/// and the KV cache of one full context.
uint64_t replicaBytes(const Catalogue &catalogue, const std::string &modelName,
                      const proto::Model &model);

/// Checks that the minimum replicas of all models fit into the engines' memory, by first-fit
/// decreasing; no engine gets two replicas of one model. Fails with TicketRefused and names the
/// model that does not fit. Pools without engines are not checked, because the memory of their
/// engines is not known yet.
Result<Unit> checkMemory(const Catalogue &catalogue, const std::vector<EngineCapacity> &engines);

} // namespace tray
