#include "catalogue/CatalogueCheck.h"

#include <algorithm>
#include <set>

namespace tray {

namespace {

Error refusal(std::string message)
{
    return {ErrorKind::TicketRefused, std::move(message)};
}

Error danglingReference(const std::string &object, const std::string &reference)
{
    return refusal(object + " refers to " + reference + ", which does not exist");
}

/// Memory that one replica needs.
struct ReplicaNeed
{
    std::string model;
    std::string pool;
    uint64_t bytes = 0;
};

/// Free memory of one engine during the placement of replicas.
struct EngineSpace
{
    uint64_t freeBytes = 0;
    std::set<std::string> models;
};

bool placeReplica(const ReplicaNeed &need, std::vector<EngineSpace> &spaces)
{
    for (auto &space : spaces) {
        if (space.freeBytes < need.bytes || space.models.contains(need.model))
            continue;
        space.freeBytes -= need.bytes;
        space.models.insert(need.model);
        return true;
    }
    return false;
}

} // namespace

Result<Unit> checkReferences(const Catalogue &catalogue)
{
    for (const auto &[name, clientAccount] : catalogue.clientAccounts()) {
        if (catalogue.findTier(clientAccount.tier()) == nullptr)
            return danglingReference("client_account/" + name, "tier/" + clientAccount.tier());
    }
    for (const auto &[name, model] : catalogue.models()) {
        const auto *pool = catalogue.findPool(model.pool());
        if (pool == nullptr)
            return danglingReference("model/" + name, "pool/" + model.pool());
        if (!pool->engines())
            return refusal("model/" + name + " needs a pool of engines, pool/" + model.pool() +
                           " is none");
    }
    for (const auto &[name, adapter] : catalogue.adapters()) {
        if (catalogue.findModel(adapter.base_model()) == nullptr)
            return danglingReference("adapter/" + name, "model/" + adapter.base_model());
    }
    for (const auto &[name, service] : catalogue.services()) {
        if (catalogue.findPool(service.pool()) == nullptr)
            return danglingReference("service/" + name, "pool/" + service.pool());
    }
    return Unit{};
}

uint64_t replicaBytes(const Catalogue &catalogue, const std::string &modelName,
                      const proto::Model &model)
{
    uint64_t bytes = model.weight_bytes() +
                     uint64_t{model.kv_bytes_per_token()} * uint64_t{model.max_context_tokens()};
    for (const auto &[name, adapter] : catalogue.adapters()) {
        if (adapter.base_model() == modelName)
            bytes += adapter.bytes();
    }
    return bytes;
}

Result<Unit> checkMemory(const Catalogue &catalogue, const std::vector<EngineCapacity> &engines)
{
    std::map<std::string, std::vector<EngineSpace>> spaces;
    for (const auto &engine : engines) {
        if (engine.memoryBytes > 0)
            spaces[engine.pool].push_back({engine.memoryBytes, {}});
    }
    std::vector<ReplicaNeed> needs;
    for (const auto &[name, model] : catalogue.models()) {
        if (!spaces.contains(model.pool()))
            continue;
        const ReplicaNeed need{name, model.pool(), replicaBytes(catalogue, name, model)};
        needs.insert(needs.end(), model.min_replicas(), need);
    }
    std::stable_sort(
        needs.begin(), needs.end(),
        [](const ReplicaNeed &left, const ReplicaNeed &right) { return left.bytes > right.bytes; });
    for (const auto &need : needs) {
        if (!placeReplica(need, spaces[need.pool]))
            return refusal("the minimum replicas do not fit: model/" + need.model + " needs " +
                           std::to_string(need.bytes) + " bytes on one more engine of pool/" +
                           need.pool);
    }
    return Unit{};
}

} // namespace tray
