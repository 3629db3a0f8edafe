// Checks of a whole configuration.
#include "catalogue/CatalogueCheck.h"

#include <algorithm>
#include <set>

namespace tray {

namespace {

Error refused(std::string message)
{
    return {ErrorKind::TicketRefused, std::move(message)};
}

Error dangling(const std::string &object, const std::string &reference)
{
    return refused(object + " refers to " + reference + ", which does not exist");
}

/// One replica that needs room.
struct Need
{
    std::string model;
    std::string pool;
    uint64_t bytes = 0;
};

/// Free memory of one engine while replicas are fitted in.
struct Room
{
    uint64_t freeBytes = 0;
    std::set<std::string> models;
};

bool place(const Need &need, std::vector<Room> &rooms)
{
    for (auto &room : rooms) {
        if (room.freeBytes < need.bytes || room.models.contains(need.model))
            continue;
        room.freeBytes -= need.bytes;
        room.models.insert(need.model);
        return true;
    }
    return false;
}

} // namespace

Result<Unit> checkReferences(const Catalogue &catalogue)
{
    for (const auto &[name, clientAccount] : catalogue.clientAccounts()) {
        if (catalogue.findTier(clientAccount.tier()) == nullptr)
            return dangling("client_account/" + name, "tier/" + clientAccount.tier());
    }
    for (const auto &[name, model] : catalogue.models()) {
        const auto *pool = catalogue.findPool(model.pool());
        if (pool == nullptr)
            return dangling("model/" + name, "pool/" + model.pool());
        if (!pool->engines())
            return refused("model/" + name + " needs a pool of engines, pool/" + model.pool() +
                           " is none");
    }
    for (const auto &[name, adapter] : catalogue.adapters()) {
        if (catalogue.findModel(adapter.base_model()) == nullptr)
            return dangling("adapter/" + name, "model/" + adapter.base_model());
    }
    for (const auto &[name, service] : catalogue.services()) {
        if (catalogue.findPool(service.pool()) == nullptr)
            return dangling("service/" + name, "pool/" + service.pool());
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

Result<Unit> checkRoom(const Catalogue &catalogue, const std::vector<EngineRoom> &engines)
{
    std::map<std::string, std::vector<Room>> rooms;
    for (const auto &engine : engines) {
        if (engine.memoryBytes > 0)
            rooms[engine.pool].push_back({engine.memoryBytes, {}});
    }
    std::vector<Need> needs;
    for (const auto &[name, model] : catalogue.models()) {
        if (!rooms.contains(model.pool()))
            continue;
        const Need need{name, model.pool(), replicaBytes(catalogue, name, model)};
        needs.insert(needs.end(), model.min_replicas(), need);
    }
    std::stable_sort(needs.begin(), needs.end(),
                     [](const Need &left, const Need &right) { return left.bytes > right.bytes; });
    for (const auto &need : needs) {
        if (!place(need, rooms[need.pool]))
            return refused("the minimum replicas do not fit: model/" + need.model + " needs " +
                           std::to_string(need.bytes) + " bytes on one more engine of pool/" +
                           need.pool);
    }
    return Unit{};
}

} // namespace tray
