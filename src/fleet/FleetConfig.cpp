// Finds routes, services and models in a configuration.
#include "fleet/FleetConfig.h"

#include "base/Hash.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace tray {

const ModelSpec *EngineSpec::findModel(std::string_view name) const
{
    const auto found = std::find_if(this->models.begin(), this->models.end(),
                                    [&](const ModelSpec &model) { return model.name == name; });
    return found == this->models.end() ? nullptr : &*found;
}

uint64_t EngineSpec::digest() const
{
    std::string text = fmt::format("{} {} {} {} {}", this->weightsMb, this->adapterSlots,
                                   this->slots, this->kvCapacityTokens, this->loadsPerSecond);
    for (const auto &model : this->models)
        text +=
            fmt::format("\n{} {} {} {} {} {}", model.name, model.weightsMb, model.adapterMb,
                        toMs(model.loadTime), toMs(model.memoryLoadTime), toMs(model.diskLoadTime));
    return std::max<uint64_t>(hash64(text), 1);
}

const Route *FleetConfig::findRoute(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const auto &route : this->routes) {
        if (route.host != host || !path.starts_with(route.pathPrefix))
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const ServiceSpec *FleetConfig::findService(std::string_view name) const
{
    const auto found =
        std::find_if(this->services.begin(), this->services.end(),
                     [&](const ServiceSpec &service) { return service.name == name; });
    return found == this->services.end() ? nullptr : &*found;
}

const std::string &chooseService(const Route &route, uint64_t hash)
{
    assert(!route.services.empty());
    uint64_t total = 0;
    for (const auto &share : route.services)
        total += share.weight;
    uint64_t point = total == 0 ? 0 : hash % total;
    for (const auto &share : route.services) {
        if (point < share.weight)
            return share.service;
        point -= share.weight;
    }
    return route.services.front().service;
}

} // namespace tray
